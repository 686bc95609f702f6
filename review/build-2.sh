#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.  They need only python3 (3.11 or later) and its
# standard library, so that nothing is compiled or installed: this checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or later is needed")
for path in [pathlib.Path("standins-2/lab.py"), *sorted(pathlib.Path(".").glob("[0-9]*/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("the stand-ins of the second review are ready")
PYTHON
