#!/usr/bin/env bash
# Mutation tests: applies each mutant separately in a temporary copy and reports whether its test program fails.
# A mutant is a patch in Utilities/mutants that removes one check of the code. Its first line names the test program:
# "# test: testName".
# Usage: mutants.sh [name pattern]   (for example: mutants.sh Calls)
# Exits with 1 if a mutant is not detected, does not compile or does not apply.
set -euo pipefail
cd "$(dirname "$0")/.."

scratch="$(mktemp -d)"
trap 'rm -rf "$scratch"' EXIT
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
CCACHE_BASEDIR="$scratch"
export CCACHE_BASEDIR
export CCACHE_NOHASHDIR=1

git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$scratch"
cd "$scratch"
git init -q
cmake --preset default >/dev/null

missed=0
noticed=0
for patch in Utilities/mutants/*"${1:-}"*.patch; do
  name="$(basename "$patch" .patch)"
  test="$(sed -n '1s/^# test: //p' "$patch")"
  if ! git apply "$patch"; then
    echo "STALE    $name: the patch does not apply"
    missed=$((missed + 1))
    continue
  fi
  if ! cmake --build build -j "${JOBS:-$(nproc)}" --target "$test" >build.log 2>&1; then
    echo "BROKEN   $name: the mutant does not compile"
    tail -5 build.log
    missed=$((missed + 1))
  elif timeout 300 "build/Tests/$test" >test.log 2>&1; then
    echo "MISSED   $name: $test passes although the check is removed"
    missed=$((missed + 1))
  else
    echo "NOTICED  $name: $(grep -m 1 -E 'TEST CASE|Falsifiable' test.log || echo "$test fails")"
    noticed=$((noticed + 1))
  fi
  git apply -R "$patch"
done
echo "$noticed mutants detected, $missed not detected, not compiled or not applicable"
[ "$missed" -eq 0 ]
