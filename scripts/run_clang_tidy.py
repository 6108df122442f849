#!/usr/bin/env python3
"""Runs clang-tidy in parallel and caches which files are free of findings.

A file is skipped if an earlier run without findings had the same source,
project headers, compile command and .clang-tidy, since the result is the same.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(
    os.environ.get("BANYANTRAIL_TIDY_CACHE",
                   pathlib.Path.home() / ".cache" / "banyantrail-tidy"))
INCLUDE = re.compile(r'^\s*#include\s+"([^"]+)"', re.MULTILINE)
SEARCH_DIRS = [*sorted((ROOT / "packages").glob("*")), ROOT / "platform",
               ROOT / "tests"]


def project_includes(path):
    """Returns the project's own headers that a file includes directly."""
    found = []
    for name in INCLUDE.findall(path.read_text()):
        for folder in [path.parent, *SEARCH_DIRS]:
            if (folder / name).is_file():
                found.append((folder / name).resolve())
                break
    return found


def fingerprint(path, command):
    """Hashes the inputs of a run: source, project headers, command, checks."""
    digest = hashlib.sha256((ROOT / ".clang-tidy").read_bytes())
    digest.update(command.replace(str(ROOT), "").encode())
    pending, seen = [path], set()
    while pending:
        current = pending.pop()
        if current not in seen:
            seen.add(current)
            pending += project_includes(current)
    for dependency in sorted(seen):
        digest.update(dependency.relative_to(ROOT).as_posix().encode())
        digest.update(dependency.read_bytes())
    return digest.hexdigest()


def check(build, entry):
    """Returns the linter's findings for one file, or an empty string."""
    path = pathlib.Path(entry["file"]).resolve()
    marker = CACHE / fingerprint(path, entry["command"])
    if marker.exists():
        return ""
    result = subprocess.run(
        ["clang-tidy", "-p", build, "--quiet", str(path)],
        capture_output=True, text=True, check=False)
    if result.returncode == 0:
        marker.touch()
        return ""
    return result.stdout + result.stderr


def main():
    build = sys.argv[1]
    CACHE.mkdir(parents=True, exist_ok=True)
    entries = json.loads((ROOT / build / "compile_commands.json").read_text())
    own = [e for e in entries
           if pathlib.Path(e["file"]).resolve().is_relative_to(ROOT)]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for output in pool.map(lambda e: check(build, e), own):
            if output:
                failed += 1
                print(output)
    print(f"clang-tidy: {len(own)} files, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
