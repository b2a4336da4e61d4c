#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/kelpcart-review
[ -x "$program" ] && [ -x target/release/kelpcart ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec "$program" slow-writer review/3/record.txt
