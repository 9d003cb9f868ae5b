#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/opalbridge ] && [ -x target/review-standin ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
timeout -k 5 110 target/review-standin garbage "$here/record.txt"
code=$?
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
