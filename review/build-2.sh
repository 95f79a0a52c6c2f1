#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs of the second review, after the
# build of deploy/system.toml. Needs g++ and nlohmann-json3-dev, which that build
# declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++17 -O1 -Wall -Wextra -pthread -Ireview/lab-2)
g++ "${flags[@]}" -c -o target/review-2/lab.o review/lab-2/lab.cpp
for it in review/*/case.cpp; do
  n=$(basename "$(dirname "$it")")
  g++ "${flags[@]}" -o "target/review-2/case-$n" "$it" target/review-2/lab.o
done
