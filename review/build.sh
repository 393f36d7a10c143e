#!/bin/sh
# Checks that the stand-ins and scripts can be loaded; they need no building.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, pathlib
for path in pathlib.Path("review").rglob("*.py"):
    ast.parse(path.read_text(), str(path))
import standins.client, standins.deployment, standins.store, standins.worker
'
