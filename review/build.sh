#!/bin/sh
# Checks the stand-ins of the review. They are plain modules, so nothing has to be compiled; they
# need only the packages that the build command of the deploy file has installed.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
