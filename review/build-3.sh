#!/usr/bin/env bash
# Builds the programs of the scripts of the third review into target/review-3/. The stand-ins are part of them.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for source in review/kit-3/*.cpp; do
  name="$(basename "$source" .cpp)"
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -Ireview/kit-3 "$source" -o "target/review-3/$name"
done
