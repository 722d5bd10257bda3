#!/usr/bin/env bash
# The stand-ins are Python and need nothing but its standard library; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib, sys

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
sys.exit(0 if sys.version_info >= (3, 11) else 1)
PYTHON
