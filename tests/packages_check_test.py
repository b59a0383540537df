#!/usr/bin/env python3
"""The check of the package list accepts a complete list and refuses one from which any needed package is missing."""
import pathlib
import subprocess
import sys
import tempfile

CHECK = pathlib.Path(__file__).resolve().parent.parent / ".ci/packages_check"
COMPLETE = ["cmake", "g++", "ninja-build", "pkg-config", "libxxhash-dev"]
PROJECT = """cmake_minimum_required(VERSION 3.25)
project(sample CXX)
find_package(PkgConfig REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
add_executable(sample sample.cpp)
target_link_libraries(sample PRIVATE PkgConfig::XXHASH)
"""
SOURCE = """#include <xxhash.h>
int main() { return static_cast<int>(XXH64("", 0, 0) & 1); }
"""


def check(tree, packages):
    listing = tree / "system.toml"
    listing.write_text(f"packages = {packages}\n")
    return subprocess.run([CHECK, "--build", tree / "target", "--tree", tree, "--target", "sample", "--list", listing],
                          capture_output=True, text=True)


def main():
    wrong = []
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder).resolve()
        (tree / "CMakeLists.txt").write_text(PROJECT)
        (tree / "sample.cpp").write_text(SOURCE)
        subprocess.run(["cmake", "-S", tree, "-B", tree / "target", "-G", "Ninja"], check=True, capture_output=True)
        subprocess.run(["cmake", "--build", tree / "target"], check=True, capture_output=True)
        complete = check(tree, COMPLETE)
        if complete.returncode != 0:
            wrong.append(f"the complete list is refused: {complete.stdout}{complete.stderr}")
        for package in COMPLETE:
            shortened = check(tree, [name for name in COMPLETE if name != package])
            if shortened.returncode != 1 or "does not bring" not in shortened.stdout:
                wrong.append(f"the list without {package} is accepted: {shortened.stdout}{shortened.stderr}")
    for line in wrong:
        print(line)
    print(f"packages check: {len(COMPLETE)} shortened lists, {len(wrong)} wrong verdicts")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
