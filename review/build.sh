#!/usr/bin/env bash
# The stand-ins of the scripts use Python's standard library only, so that
# nothing has to be built. Checks that all of them compile.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
