#!/usr/bin/env bash
# Builds the programs that the cases from 6 on start, beside the daemon that
# the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.cpp; do
  name=$(basename "$source" .cpp)
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-2/$name"
done
