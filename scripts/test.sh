#!/usr/bin/env bash
# Installs what is missing, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
ctest --test-dir build --output-on-failure --parallel 4
