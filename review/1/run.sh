#!/usr/bin/env bash
# Changes that add routes end the work of all controllers. TROUBLE=0: the changes add none.
cd "$(dirname "$0")/../.." && exec python3 -B review/1/platform/case.py
