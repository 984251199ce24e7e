#!/bin/sh
# Builds what the cases start beside the gateway. All of it is Python: the stand-ins, and the project's client
# library (case 2), which needs what the build of the deploy file has installed and nothing else.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import h11'
.venv/bin/python -m compileall -q basaltspread review
