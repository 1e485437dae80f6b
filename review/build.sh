#!/bin/sh
# Checks that the stand-ins can be compiled and that their libraries are built.
# They need nothing but what the deploy file puts into target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 -c 'import aiohttp, orjson, uvloop' || exit 1
for file in review/standin/*.py review/[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" ||
        exit 1
done
