#!/bin/sh
# The stand-ins of the cases use only Python's standard library: this checks that they
# compile. The project itself is built by the line `build` of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
