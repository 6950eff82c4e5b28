#!/usr/bin/env bash
# Checks that the stand-ins of the second review's scripts can be loaded; they are Python only, with
# the libraries that the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
for file in review/second/*.py review/[4-8]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
cd review/second
PYTHONPATH=../../target/deps PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import case, document, engines, fleet, standins'
