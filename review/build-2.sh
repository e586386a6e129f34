#!/usr/bin/env bash
# Builds what the scripts of the second review start: the stand-ins are plain Python.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness_2.py platform/tests/fleet_soak platform/tests/fleet_tests/store_standin.py
for case in review/6 review/7 review/8 review/9 review/10; do
    [ ! -d "$case" ] || python3 -m compileall -q "$case"
done
