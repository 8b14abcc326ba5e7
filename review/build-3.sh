#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain modules of Node and need no build.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-3/*.mjs review/11/case.mjs review/12/case.mjs review/13/case.mjs \
  review/14/case.mjs review/15/case.mjs; do
  node --check "$file" || exit 1
done
