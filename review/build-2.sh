#!/bin/sh
# Build the stand-ins of the scripts: they are Python modules, which need only
# the libraries that the build of the deploy file has put into target/deps.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
PYTHONPATH="$root/target/deps" python3 -B - "$root/review/harness-2" <<'PY'
import pathlib
import sys

for path in sorted(pathlib.Path(sys.argv[1]).glob("*.py")):
    compile(path.read_text(), str(path), "exec")
sys.path.insert(0, sys.argv[1])
import harness  # noqa: E402, F401

print("stand-ins of the review scripts can be run")
PY
