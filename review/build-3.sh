#!/bin/sh
# Builds the stand-ins of cases 11 to 15, after the build of the deploy file. They are
# Python, `standins3.py` and the project's own store, and need only `target/deps`: all
# are compiled and loaded once, without a network.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1
export PYTHONDONTWRITEBYTECODE
python3 - <<'P'
import ast
import pathlib
import sys

for path in [pathlib.Path("standins3.py"), *sorted(pathlib.Path(".").glob("1[1-5]/case.py"))]:
    ast.parse(path.read_text(), str(path))
sys.path.insert(0, ".")
import standins3
P
