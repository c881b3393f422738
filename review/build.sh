#!/usr/bin/env bash
# The stand-ins in review/*.mjs are plain JavaScript on the runtime's own modules: there is
# nothing to build. Checks that the program of the deploy file is there.
cd "$(dirname "$0")/.." || exit 1
test -f target/mimosatackd.cjs
