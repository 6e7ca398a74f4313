#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests.
# Usage: test.sh [ctest options]   (for example: test.sh -R Configuration; the variable JOBS limits the number of parallel jobs)
set -euo pipefail
cd "$(dirname "$0")/.."

./Utilities/build.sh
ctest --preset default -j "${JOBS:-4}" "$@"
