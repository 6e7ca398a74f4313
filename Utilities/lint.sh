#!/usr/bin/env bash
# Runs clang-tidy on all C++ source files and shellcheck on the scripts, or only clang-tidy on the given files.
# Requires a configured build folder (Utilities/build.sh).
set -euo pipefail
cd "$(dirname "$0")/.."

files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(find Source platform StandIns Tests Benchmarks -name '*.cpp')
  shellcheck Utilities/*.sh .ci/run
fi
printf '%s\0' "${files[@]}" | xargs -0 -r -n 1 -P "${JOBS:-$(nproc)}" clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2> >(grep -v 'warnings\? .*generated' >&2)
