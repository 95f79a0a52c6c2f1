#!/usr/bin/env bash
# Builds the drivers of the cases, with their stand-ins, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/driver.cpp; do
  n=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -g -Wall -Wextra "$source" -pthread -o "target/review/case-$n"
done
