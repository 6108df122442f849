#!/usr/bin/env bash
# Checks formatting and runs the linter on the project's own files.
# With --fix, formats the files in place first.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  '*.cc' '*.h')
if [ "${1:-}" = "--fix" ]; then
  clang-format -i "${files[@]}"
fi
clang-format --dry-run -Werror "${files[@]}"

# A separate build tree without precompiled headers, because those of g++ give
# clang-tidy wrong results.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DCMAKE_CXX_COMPILER_LAUNCHER= >/dev/null
scripts/run_clang_tidy.py build-lint
