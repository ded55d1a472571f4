#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python modules that use the standard library only, so they are compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
