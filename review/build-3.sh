#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain Node modules: checks that each can be read, and that the program is built.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
test -x ../target/wisteriaslip
