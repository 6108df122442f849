#!/usr/bin/env bash
# Checks what the scripts of the cases 11 to 15 start: their stand-ins are
# Python files that need no build, and no stand-in of the project is used.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast, glob
for path in ["kit3.py", *sorted(glob.glob("1[1-5]/*.py"))]:
    ast.parse(open(path).read(), path)
PYTHON
