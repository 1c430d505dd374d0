#!/bin/sh
# Builds the stand-ins of the cases 11 to 14: Python 3 with its standard library alone, so this only compiles them to
# find errors. The programs of the project are built by the command of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 - standins3.py 1[1-5]/case.py <<'PY'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PY
