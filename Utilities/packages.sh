#!/usr/bin/env bash
# Installs missing Debian packages that the build, the tests and the benchmarks require.
set -euo pipefail

packages=(
  build-essential cmake ninja-build ccache clang-format clang-tidy shellcheck python3 curl
  libboost-dev libboost-system-dev libwebsocketpp-dev libmsgsl-dev nlohmann-json3-dev
  libcli11-dev libgoogle-glog-dev prometheus-cpp-dev doctest-dev librapidcheck-dev
  libtomlplusplus-dev libxxhash-dev libssl-dev gnuplot-nox
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

echo "Installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
