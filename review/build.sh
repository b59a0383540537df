#!/usr/bin/env bash
# The stand-ins of the scripts are Python 3 programs without further packages: this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for source in platform/*.py [0-9]*/platform/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$source"
done
