#!/usr/bin/env bash
# Builds the programs of the third review's scripts with their stand-ins, after
# the build of deploy/system.toml. Needs g++, nlohmann-json3-dev and
# libxxhash-dev, which that build declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/*/scenario.cpp; do
  n=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-3/scenario-$n" "$source"
done
