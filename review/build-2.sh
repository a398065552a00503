#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with their stand-ins, into
# target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -c -o target/review-2/world.o \
  review/stand-2/world.cpp
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case-$number" \
    "review/$number/case.cpp" target/review-2/world.o
done
