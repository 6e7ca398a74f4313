#!/usr/bin/env bash
# Installs missing packages, configures and builds everything.
# Usage: build.sh [preset]   ("default", or "release" for benchmarks; the variable JOBS limits the number of compile jobs)
set -euo pipefail
cd "$(dirname "$0")/.."

preset="${1:-default}"
./Utilities/packages.sh
# Lets work trees in different folders share the compiler cache.
CCACHE_BASEDIR="$PWD"
export CCACHE_BASEDIR
export CCACHE_NOHASHDIR=1
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -j "${JOBS:-$(nproc)}"
