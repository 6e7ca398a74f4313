#!/usr/bin/env bash
# Builds the drivers of cases 11 to 15 into target/review-3/. The stand-ins are part of them.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for case in 11 12 13 14 15; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "review/$case/driver.cpp" -o "target/review-3/$case"
done
