#!/bin/sh
# Builds the stand-ins of the second review. They are Python modules that use the
# packages of the deployment's build, so that compiling and importing them suffices.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q beryltrack_standins review/site_2.py
PYTHONPATH=target/deps:. python3 -c "import review.site_2"
