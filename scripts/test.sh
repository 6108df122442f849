#!/usr/bin/env bash
# Installs missing packages, builds, and runs all tests. Tests listed in
# KNOWN-RED.txt run too, but their failure does not fail the script.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build

known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|')
run_tests() {
  ctest --test-dir build --output-on-failure --no-tests=error "$@"
}
if [ -z "$known_red" ]; then
  run_tests --parallel 4
  exit
fi
run_tests --parallel 4 --exclude-regex "^($known_red)\$"
echo "Known failing tests, see KNOWN-RED.txt:"
if run_tests --tests-regex "^($known_red)\$"; then
  echo "All of them pass: remove them from KNOWN-RED.txt."
fi
