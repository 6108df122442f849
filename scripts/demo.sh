#!/usr/bin/env bash
# Sets up a fresh Debian 12 machine and shows the whole path: a fleet in three
# failure domains, a configuration applied, requests of each rank, a rule
# changed under load, and a planned stop. Exits 0, or says what failed.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build
exec python3 scripts/demo.py "$@"
