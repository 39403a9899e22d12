#!/bin/sh
# Checks that the stand-ins can run: they are Python of the standard library alone, so there is
# nothing to compile. They start the project's programs from target/, which the build line of the
# deploy file makes.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py [0-9]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -d ../target/deps
