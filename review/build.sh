#!/bin/sh
# Builds the stand-ins of the review's scripts, with the toolchain that builds the project.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[123]/case.rs; do
  number=$(basename "$(dirname "$case")")
  rustc --edition 2021 -O -o "target/review/case-$number" "$case"
done
