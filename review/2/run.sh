#!/usr/bin/env bash
# Exits with 1 if a request ran twice, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node review/2/case.mjs
