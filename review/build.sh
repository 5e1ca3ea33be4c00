#!/usr/bin/env bash
# Builds the drivers of the cases that are scripts, with their stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for driver in */driver.cpp; do
  case=$(dirname "$driver")
  g++ -std=c++20 -O1 -Wall -Wextra "$driver" -o "bin/case-$case" \
    -lboost_json -lpthread
done
