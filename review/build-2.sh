#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/8 start beside the deployed program. Their stand-ins
# in review/lib-2 are plain modules and need no build, only the packages of the lockfile.
set -eu
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
test -f target/main.cjs || npm run --silent build
