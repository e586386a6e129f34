#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; they need nothing but Python.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/harness.py review/worker.py platform/tests/fleet_tests/store_standin.py
