#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start.
# They are Python files; this checks that they compile and that the packages of
# the deploy file's build are there.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 - <<'PYTHON' || exit 1
import aiohttp
import pathlib

for path in sorted(pathlib.Path('review').glob('harness-3/*.py')):
    compile(path.read_bytes(), str(path), 'exec')
for number in range(11, 16):
    for path in sorted(pathlib.Path(f'review/{number}').glob('*.py')):
        compile(path.read_bytes(), str(path), 'exec')
print('stand-ins of review/11 to review/15: ready, aiohttp', aiohttp.__version__)
PYTHON
