#!/usr/bin/env bash
# Exits with 1 if a node left requests without an answer, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node review/1/case.mjs
