#!/bin/sh
# Builds the stand-ins of this review's scripts, with the toolchain that builds the project.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 5 6; do
  [ -f "review/$number/case.rs" ] || continue
  rustc --edition 2021 -O -o "target/review/case-$number" "review/$number/case.rs"
done
