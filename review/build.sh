#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. Needs a C++20 compiler
# only; run from any folder, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand_ins/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread \
    -o "target/review/$name" "$source"
done
