#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="$PWD/../../target/deps"
export PYTHONPATH
python3 -B -c 'import sys; sys.path.insert(0, "../common-2"); import harness' || exit 2
exec python3 -B case.py
