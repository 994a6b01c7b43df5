#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
# The stand-ins are Python modules: they only have to compile and to import.
PYTHONPYCACHEPREFIX="$folder" python3 -m compileall -q review lavendershift_standins
PYTHONPYCACHEPREFIX="$folder" PYTHONPATH=.:target/deps python3 -c \
    'import review.standins.deployment, review.standins.callers'
