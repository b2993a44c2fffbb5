#!/bin/sh
# Plays the case once; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=.:target/deps exec python3 review/4/case.py
