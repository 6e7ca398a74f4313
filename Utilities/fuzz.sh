#!/usr/bin/env bash
# Runs the property-based state tests repeatedly for a given time, each run with another seed, and reports the numbers
# of passed and failed runs.
# Usage: fuzz.sh [--seed N] [--seconds S] [--test NAME]   (NAME: Calls, Configuration, MapSwitch, ...)
# The seed increases by 1 with each run. For a failed run, prints the seed and the output. Exits with 1 if a run failed.
set -euo pipefail
cd "$(dirname "$0")/.."

seed=1
seconds=60
tests=(Calls Configuration MapSwitch)
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed="$2"; shift 2 ;;
    --seconds) seconds="$2"; shift 2 ;;
    --test) tests=("$2"); shift 2 ;;
    *) echo "fuzz.sh: unknown option \"$1\"; write --seed N, --seconds S or --test NAME" >&2; exit 2 ;;
  esac
done

./Utilities/build.sh >/dev/null
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
runs=0
failures=0
for test in "${tests[@]}"; do
  end=$((SECONDS + seconds / ${#tests[@]}))
  while [ "$SECONDS" -lt "$end" ]; do
    if ! RC_PARAMS="seed=$seed" timeout 600 "build/Tests/test$test" >"$log" 2>&1; then
      echo "FAILED: RC_PARAMS=\"seed=$seed\" build/Tests/test$test"
      grep -v '^\[doctest\]' "$log" | tail -60
      failures=$((failures + 1))
    fi
    # Prints the summary lines of the test programs.
    grep -iE '(cases|worlds|steps|admissions)' "$log" | sed "s/^/$test seed $seed: /" || true
    runs=$((runs + 1))
    seed=$((seed + 1))
  done
done
echo "$((runs - failures)) passed, $failures failed"
[ "$failures" -eq 0 ]
