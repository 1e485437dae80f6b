#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python, so that they are compiled only.
# Their libraries are those of the deploy file's build, in target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c 'import aiohttp'
python3 -m py_compile review/harness-2/standin.py review/harness-2/installation.py
