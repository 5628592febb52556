#!/bin/sh
# The stand-ins are Python sources; they use the libraries of the deploy build.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build of deploy/system.toml first"; exit 1; }
for file in review/common/*.py review/[0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
