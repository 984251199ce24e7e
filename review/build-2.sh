#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the program itself: stand-ins in Python that need
# nothing but the environment of the deploy file's build. Needs no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import sys; sys.exit(sys.version_info < (3, 11))'
.venv/bin/python -m compileall -q review/peers2 review/6 review/7 review/8 review/9 review/10
