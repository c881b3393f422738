#!/bin/bash
# The stand-ins of cases 6 to 10 are plain JavaScript without dependencies: there is nothing
# to compile. Checks that they can be parsed.
cd "$(dirname "$0")" || exit 1
for file in *_2.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file" || exit 1; fi
done
