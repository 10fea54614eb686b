#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Build first: the deploy file's build, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand ] && [ -x target/release/pomelo-platform ] || exit 2
exec target/review-2/stand slow review/10/record.txt
