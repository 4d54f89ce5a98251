#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/, with the C++ compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p build-review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-2 "$source" -o "build-review-2/case-$number"
done
