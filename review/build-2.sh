#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start; run it after the build of the
# deploy file, which brings the libraries. Nothing is fetched.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -m compileall -q lavendershift_standins review/7
PYTHONPATH="target/deps:." python3 -c "
import lavendershift_standins.platformserver
import lavendershift_standins.platformstore
"
