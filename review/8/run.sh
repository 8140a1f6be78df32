#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/edge target/review-2/cases-2; do
	[ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review-2/cases-2 two-engines review/8
