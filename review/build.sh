#!/bin/bash
# Builds the stand-ins of the cases, into review/bin. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for n in 1 2 3; do
  if [ -f "$n/case.cpp" ]; then "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -o "bin/case$n" "$n/case.cpp"; fi
done
