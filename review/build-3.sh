#!/usr/bin/env bash
# Checks the stand-ins of the scripts in 11 to 15. They are plain modules in lib-3/, so there is nothing to compile.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do [ ! -f "$file" ] || node --check "$file"; done
