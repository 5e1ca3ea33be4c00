#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra)
mkdir -p "$out"
objects=()
jobs=()
for unit in http record runner deployment platform; do
  g++ "${flags[@]}" -c "review/standins-2/$unit.cpp" -o "$out/$unit.o" &
  jobs+=($!)
  objects+=("$out/$unit.o")
done
for job in "${jobs[@]}"; do wait "$job"; done
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  [ -e "$out/$name.o" ] && continue
  g++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json -lpthread \
    -o "$out/$name"
done
