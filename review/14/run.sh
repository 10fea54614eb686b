#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-3/stand ] || [ ! -x target/release/pomelo-platform ]; then
    echo "build the deploy file and run review/build-3.sh first" >&2
    exit 2
fi
exec target/review-3/stand taken-back review/14
