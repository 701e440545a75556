#!/usr/bin/env bash
# The stand-ins are Python programs (review/lib/standin.py, python3 3.8 or newer, standard library
# only). There is nothing to compile: this checks that they can be read and run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/*.py [0-9]*/case.py <<'CHECK'
import ast, asyncio, sys
assert sys.version_info >= (3, 8), sys.version
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
print("stand-ins: ok")
CHECK
