#!/bin/sh
# Builds all that the scripts of this review start beside the hosts.
# These are stand-ins in Python: the project's own, those of the soak, and the harness.
# They run with the libraries that the build of the deploy file places in target/deps.
cd "$(dirname "$0")/.." || exit 1
python3 deploy/build.py || exit 1
python3 -m compileall -q godwitladder/standins soak review/harness2 || exit 1
PYTHONPATH="target/deps:." python3 -c "import review.harness2.fleet"
