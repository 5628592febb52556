#!/bin/sh
# The stand-ins are Python sources that use the libraries of the deploy build.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
for file in review/common-2/harness.py review/[456]/case.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
PYTHONPATH=target/deps python3 -B -c 'import aiohttp' || exit 1
