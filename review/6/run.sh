#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-2/release/sesamewind-review-2
[ -x "$driver" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$driver" reversed-outcome review/6
