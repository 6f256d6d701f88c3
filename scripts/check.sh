#!/usr/bin/env bash
# All checks: formatter, linter, tests, and the tests under sanitizers. Passes
# over exactly the entries of KNOWN-RED.txt, and prints them.
# Usage: check.sh BUILD SANITIZED_BUILD
set -u
cd "$(dirname "$0")/.."
build=$1
sanitized=$2
jobs=$(nproc)
status=0

step() { printf '\n== %s\n' "$*"; }

# Names of the tests that KNOWN-RED.txt lists: lines "test: NAME".
known_red() { sed -n 's/^test: //p' KNOWN-RED.txt; }

# run_tests BUILD: fails for a test that is red and not known to be.
run_tests() {
  local log red unknown
  log=$(mktemp)
  ctest --test-dir "$1" -j "$jobs" --output-on-failure --no-tests=error > "$log" 2>&1
  grep -E 'tests passed|tests failed' "$log"
  red=$(sed -nE 's/^[[:space:]]*[0-9]+ - ([^ ]+) \(.*$/\1/p' "$log" | sort -u)
  unknown=$(comm -23 <(echo "$red") <(known_red | sort -u) | sed '/^$/d')
  if [ -n "$unknown" ]; then
    cat "$log"
    echo "red, and not listed in KNOWN-RED.txt: $unknown"
    status=1
  fi
  [ -z "$red" ] || echo "red: $red"
  rm -f "$log"
}

step "formatter"
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror || status=1

step "build"
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null &&
  cmake --build "$build" > "$build/build.log" 2>&1 ||
  { tail -n 40 "$build/build.log"; exit 1; }

step "linter"
git ls-files 'packages/*.cpp' 'platform/jackdawhall/*.cpp' |
  xargs -P "$jobs" -n 4 clang-tidy -p "$build" --quiet > "$build/tidy.log" 2> /dev/null ||
  { grep -E 'error|warning' "$build/tidy.log" | head -40; status=1; }

step "tests"
run_tests "$build"

step "tests under address and undefined-behaviour sanitizers"
# Shared libraries: each test program would hold a copy of all the packages.
cmake -S . -B "$sanitized" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DBUILD_SHARED_LIBS=ON -DJACKDAWHALL_SANITIZE=ON > /dev/null &&
  cmake --build "$sanitized" > "$sanitized/build.log" 2>&1 ||
  { tail -n 40 "$sanitized/build.log"; exit 1; }
run_tests "$sanitized"

step "known red"
cat KNOWN-RED.txt
exit $status
