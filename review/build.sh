#!/usr/bin/env bash
# Builds what the scripts of the cases start: the program, whose commands serve, cache, origin, board, get and
# notice they use, and the stand-ins in review/clients/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/CMakeCache.txt ] || cmake -B build -DCMAKE_BUILD_TYPE=Release
cmake --build build -j4 --target trailcourse_router
mkdir -p review/bin
for source in review/clients/*.cpp; do
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -o "review/bin/$(basename "$source" .cpp)" "$source"
done
