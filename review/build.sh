#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain JavaScript without dependencies, so this only checks that
# Node.js can read them, and that the entries have been built by the deploy file.
set -eu
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
test -x ../target/wisteriaslip || { echo 'target/wisteriaslip is missing: run the build of deploy/system.toml first'; exit 1; }
