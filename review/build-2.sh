#!/bin/bash
# The stand-ins of cases 6 to 10 are plain modules without dependencies: nothing is
# compiled. Checks that Node.js accepts each of them.
set -e
cd "$(dirname "$0")"
for file in lib2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
