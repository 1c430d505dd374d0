#!/bin/sh
# The stand-ins are Python programs of the standard library alone, so there is nothing to compile. This checks that the
# interpreter is there (3.11 or later) and reads them.
set -eu
cd "$(dirname "$0")"
exec python3 -B - <<'P'
import ast, glob, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11 or later"
for name in ["standins.py", *sorted(glob.glob("*/case.py"))]:
    ast.parse(open(name).read(), name)
    print("checked", name)
P
