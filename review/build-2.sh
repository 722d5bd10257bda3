#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need only Python's standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins_2 6 7 8 9 10
