#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain JavaScript for Node 20: there is nothing to compile, so this checks that all can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs {6,7,8,9,10}/case.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
