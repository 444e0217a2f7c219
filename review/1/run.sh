#!/usr/bin/env bash
# Runs the case of claim.txt: exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
set -uo pipefail
trouble=${TROUBLE:-1}
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
for program in target/release/shallottackd target/review/standin; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of the deploy file and review/build.sh" >&2
        exit 2
    fi
done
exec target/review/standin hang "$folder" "$trouble"
