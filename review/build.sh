#!/usr/bin/env bash
# Checks that the stand-ins can run: they need Python 3.11 or newer and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"'
python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PY
