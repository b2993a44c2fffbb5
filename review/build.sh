#!/bin/sh
# The stand-ins are Python and need no build; this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=.:target/deps exec python3 -c "import review.common.case, review.common.clients"
