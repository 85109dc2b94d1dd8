#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are plain JavaScript without dependencies, so there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do node --check "$file"; done
[ -f target/egretvalve.cjs ] || { echo 'target/egretvalve.cjs is missing: run the build of the deploy file first'; exit 1; }
