#!/usr/bin/env bash
# Formats all C++ files with clang-format, or only checks their format with --check.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(-i)
if [ "${1:-}" = "--check" ]; then
  mode=(--dry-run -Werror)
fi
find Source platform StandIns Tests Benchmarks \( -name '*.h' -o -name '*.cpp' \) -print0 | xargs -0 -r clang-format "${mode[@]}"
