#!/bin/bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/build/review-2/harness" ] && [ -x "$root/target/entry" ] && [ -x "$root/target/control" ] || exit 2
exec "$root/build/review-2/harness" removed "$root" record.txt
