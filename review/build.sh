#!/bin/sh
# Builds the stand-ins of the script cases; needs g++ and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in */main.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "bin/case-$(dirname "$source")" "$source"
done
