#!/usr/bin/env bash
# Builds the programs that the scripts of review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for file in review/1[1-5]/case.cpp; do
  name="$(basename "$(dirname "$file")")"
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$name" "$file"
done
