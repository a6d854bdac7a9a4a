#!/usr/bin/env bash
# Builds the stand-ins and checks of review/6 to review/10 into build/review-2/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -pthread -Isrc -Iinclude -Itests "-DTRAILCOURSE_PROGRAM=\"build/trailcourse\"")
"${CXX:-c++}" "${flags[@]}" -c tests/stand_ins.cpp -o "$out/stand_ins.o"
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  name=case$(basename "$(dirname "$source")")
  "${CXX:-c++}" "${flags[@]}" -Ireview/stand_ins-2 "$source" "$out/stand_ins.o" \
    build/libtrailcourse_protocol.a build/libtrailcourse_transport.a -o "$out/$name" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
