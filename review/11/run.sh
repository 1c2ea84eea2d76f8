#!/usr/bin/env bash
# Plays the case of this folder: exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
for program in target/limpetplatform target/review-stand3; do
	if [ ! -x "$root/$program" ]; then
		echo "$program is missing: build it first" >&2
		exit 2
	fi
done
exec timeout --kill-after=5 118 "$root/target/review-stand3" -case score -binary "$root/target/limpetplatform" -record "$folder/record.txt"
