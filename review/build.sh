#!/bin/sh
# Builds the stand-ins of the script cases, each into the folder of its case;
# needs g++ and nothing else. All use 1/world.hpp.
set -eu
cd "$(dirname "$0")"
for source in */main.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "$(dirname "$source")/case" "$source"
done
