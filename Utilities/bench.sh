#!/usr/bin/env bash
# Builds the release preset, runs all benchmark programs one after another, and writes their tables to
# docs/results.md and plots to docs/plots.
# Usage: bench.sh   (JOBS bounds the compile jobs)
set -euo pipefail
cd "$(dirname "$0")/.."

# Seconds that one program may take.
limit=180
programs=build-release/Benchmarks
results=docs/results.md
plots=docs/plots
fence='```'
work="$(mktemp -d)"
trap 'rm -r "$work"' EXIT

./Utilities/packages.sh
# Lets work trees in different folders share the compiler cache, as in build.sh. The tests are not needed here.
CCACHE_BASEDIR="$PWD"
export CCACHE_BASEDIR
export CCACHE_NOHASHDIR=1
cmake --preset release >/dev/null
cmake --build --preset release -j "${JOBS:-$(nproc)}" --target benchCalls benchRouting benchLimits benchPlacement benchCapacity
mkdir -p "$plots"

# Runs one program and adds its table as a section: addSection NAME TITLE [TSV]
addSection() {
  local name="$1" title="$2"
  shift 2
  echo "Running $name"
  if ! timeout "$limit" "$programs/$name" "$@" >"$work/$name.txt"; then
    echo "$name failed or took more than $limit s" >&2
    return 1
  fi
  {
    printf '\n## %s\n\nCommand: %s\n\n%stext\n' "$title" "$programs/$name" "$fence"
    sed 's/[[:space:]]*$//' "$work/$name.txt"
    printf '%s\n' "$fence"
  } >>"$work/results.md"
}

# Plots with gnuplot: plot NAME TITLE YLABEL COMMANDS
plot() {
  gnuplot <<PLOT
set terminal svg size 900,480 dynamic background rgb 'white' font 'sans-serif,13'
set output '$plots/$1.svg'
set datafile separator '\t'
set title '$2'
set ylabel '$3'
set grid ytics
set key outside right
set style fill solid 0.8
$4
PLOT
}

# Bars of one column by scenario, one colour for each policy: plotBars NAME TITLE YLABEL TSV SCENARIO-COLUMN POLICY-COLUMN VALUE-COLUMN
plotBars() {
  awk -F'\t' -v scenario="$5" -v policy="$6" -v value="$7" '
    NR == 1 { next }
    !($scenario in seenScenario) { seenScenario[$scenario] = 1; scenarios[++scenarioCount] = $scenario }
    !($policy in seenPolicy) { seenPolicy[$policy] = 1; policies[++policyCount] = $policy }
    { values[$scenario, $policy] = $value }
    END {
      printf "scenario"
      for (p = 1; p <= policyCount; ++p) printf "\t%s", policies[p]
      printf "\n"
      for (s = 1; s <= scenarioCount; ++s) {
        printf "%s", scenarios[s]
        for (p = 1; p <= policyCount; ++p) printf "\t%s", values[scenarios[s], policies[p]]
        printf "\n"
      }
    }' "$4" >"$work/bars.tsv"
  local columns
  columns="$(head -n 1 "$work/bars.tsv" | awk -F'\t' '{ print NF }')"
  plot "$1" "$2" "$3" "set style data histograms
set yrange [0:*]
set xtics rotate by -25
plot for [i=2:$columns] '$work/bars.tsv' using i:xtic(1) title columnheader(i)"
}

{
  printf '# Results\n\n'
  printf 'Made anew by Utilities/bench.sh. Times are those of one run on a shared machine: compare within a table only.\n'
} >"$work/results.md"

addSection benchCalls "Calls: claims, retries, hedges"
addSection benchRouting "Routing: selection of the backend server" "$work/routing.tsv"
addSection benchLimits "Limits: admission and customer shares" "$work/limits.tsv"
addSection benchPlacement "Placement: expert maps" "$work/placement.tsv"
addSection benchCapacity "Capacity: slopes of the decision code" "$work/capacity.tsv"

plotBars routing-first-token "95th percentile of the time to first token over that of two choices" "ratio" "$work/routing.tsv" 1 2 4
plotBars limits-goodput "On-time answers over the ideal" "share" "$work/limits.tsv" 1 2 3
awk -F'\t' 'NR == 1 || $1 == 64' "$work/placement.tsv" >"$work/placement-64.tsv"
plotBars placement-skew "Mean skew at 64 ranks and 256 experts" "slowest rank over mean" "$work/placement-64.tsv" 3 4 5
plot capacity-gossip "Bytes that an entry sends at rest by entry slots" "KB/s" "set xlabel 'entry slots'
set yrange [0:*]
plot '$work/capacity.tsv' using 1:2 skip 1 with linespoints title 'sent', 15 title 'ceiling'"

{
  printf '\n## Plots\n\n'
  for file in routing-first-token limits-goodput placement-skew capacity-gossip; do
    printf '![%s](plots/%s.svg)\n\n' "$file" "$file"
  done
} >>"$work/results.md"
sed -e :a -e '/^\n*$/{$d;N;ba' -e '}' "$work/results.md" >"$results"
echo "Wrote $results and $plots"
