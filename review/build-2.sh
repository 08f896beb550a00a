#!/usr/bin/env bash
# Builds the stand-ins of the scripts in 6 to 10; they use the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins-2
