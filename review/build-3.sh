#!/bin/sh
# Builds the stand-ins of the third review's scripts. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/stand-3/main.rs -o target/review-3/stand
