#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=.:target/deps
python3 -c 'import importlib; importlib.import_module("review.1.case")' || exit 2
exec python3 -m review.1.case
