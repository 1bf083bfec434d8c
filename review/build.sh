#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain JavaScript for Node.js without
# dependencies, so there is nothing to compile; this checks that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
