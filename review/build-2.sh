#!/usr/bin/env bash
# Builds what the cases 6 to 10 start besides the programs of the deploy file. Their stand-ins in review/lib-2 are plain
# JavaScript without dependencies and need no build; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs; do node --check "$file"; done
for file in [0-9]*/play.mjs; do node --check "$file"; done
