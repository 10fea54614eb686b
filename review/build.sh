#!/bin/sh
# Builds the stand-ins of the review's cases into target/review/stand. Needs the toolchain only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
exec "${RUSTC:-rustc}" --edition 2024 -O -o target/review/stand review/stand/main.rs
