#!/usr/bin/env bash
# Installs packages on Debian 12, builds, and runs the demo: starts a fleet in
# three failure domains, applies a configuration, sends requests of each rank,
# changes a rule under load and stops the fleet. Exits with 0, or prints what
# failed.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
exec python3 scripts/demo.py "$@"
