#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: they need Python's standard library only, so this compiles and loads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 is needed") if sys.version_info < (3, 11) else None'
python3 -m compileall -q stand_ins [4-8]/case.py
python3 -c 'import stand_ins.deployment'
