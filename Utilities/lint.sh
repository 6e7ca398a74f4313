#!/usr/bin/env bash
# Runs clang-tidy on all C++ source files, shellcheck on the scripts and a check for duplicate types, or only clang-tidy on the given files.
# Requires a configured build folder (Utilities/build.sh).
set -euo pipefail
cd "$(dirname "$0")/.."

files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(find Source platform StandIns Tests Benchmarks -name '*.cpp')
  shellcheck Utilities/*.sh .ci/run
  # Two types of the same name in different slices are merged by the linker without a message, which corrupts memory.
  duplicates="$(grep -rhoE '^(struct|class|enum class) [A-Za-z]+( final)?( : .*)?( \{)?$' Source platform --include='*.h' | sed -E 's/^(struct|class|enum class) ([A-Za-z]+).*/\2/' | sort | uniq -d)"
  if [ -n "$duplicates" ]; then
    echo "These types are defined in more than one header:"
    echo "$duplicates"
    exit 1
  fi
fi
printf '%s\0' "${files[@]}" | xargs -0 -r -n 1 -P "${JOBS:-$(nproc)}" clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2> >(grep -v 'warnings\? .*generated' >&2)
