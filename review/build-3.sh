#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases from 11 on into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
flags=(-std=c++20 -O1 -Wall -Wextra)
mkdir -p "$out"
g++ "${flags[@]}" -c review/standins-3/standins.cpp -o "$out/standins.o"
jobs=()
for source in review/standins-3/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = standins ] && continue
  g++ "${flags[@]}" "$source" "$out/standins.o" -lboost_json -lpthread \
    -o "$out/$name" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
