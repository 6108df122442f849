#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail

packages=(
  ccache clang-format clang-tidy cmake g++ libboost-dev libcaf-dev
  libcpputest-dev liblog4cxx-dev libmsgpack-cxx-dev librapidcheck-dev
  libssl-dev libtclap-dev libxxhash-dev ninja-build nlohmann-json3-dev
  pkg-config prometheus-cpp-dev python3
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed'; then
    missing+=("$package")
  fi
done

if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
