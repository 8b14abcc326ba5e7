#!/bin/sh
# The stand-ins of the cases are plain modules beside the scripts: there is nothing to compile.
# Checks that this Node can read all of them.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
