#!/usr/bin/env bash
# An order that was given up is carried out after a freeze. TROUBLE=0: no machine freezes.
cd "$(dirname "$0")/../.." && exec python3 -B review/2/platform/case.py
