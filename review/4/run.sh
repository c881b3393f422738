#!/usr/bin/env bash
# Exits with 1 if two holders ordered one runner within the lease, 0 if not, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node review/4/case.mjs
