#!/bin/sh
# Builds what the scripts start beside the balancer: the stand-ins are Python and only checked here.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -B - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
