#!/usr/bin/env bash
# The stand-ins are Python (lib/standins.py, standard library only), so there is nothing to compile: this checks that
# an interpreter and the programs of the deploy file's build are there.
set -euo pipefail
cd "$(dirname "$0")/.."
found=
for python in python3 /usr/bin/python3; do
    if "$python" -c 'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; then found=$python; break; fi
done
[ -n "$found" ] || { echo "no Python of 3.11 or later" >&2; exit 1; }
for program in glendeck-node glendeck; do
    [ -x "target/release/$program" ] || { echo "target/release/$program is missing: run the deploy file's build" >&2; exit 1; }
done
for file in review/lib/standins.py review/[123]/case.py; do
    "$found" -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
