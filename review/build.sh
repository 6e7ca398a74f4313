#!/usr/bin/env bash
# Builds the stand-ins of all cases: review/N/driver from review/N/driver.cpp and the shared headers.
set -euo pipefail
cd "$(dirname "$0")"
for source in [1-5]/driver.cpp; do
  [ -e "$source" ] || continue
  driver="${source%.cpp}"
  if [ ! -x "$driver" ] || [ -n "$(find "$source" ./*.h -newer "$driver")" ]; then
    "${CXX:-c++}" -std=c++17 -O1 -pthread -o "$driver" "$source"
  fi
done
