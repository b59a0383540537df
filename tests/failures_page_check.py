"""Each test that docs/failures.md names exists: `Suite.Test`, `Suite.Begin...`, `Suite.*`, or a suite alone."""

import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1])
page = (root / "docs/failures.md").read_text()
sources = [*root.glob("tests/*.cpp"), *root.glob("platform/tests/*.cpp")]
defined = {
    f"{suite}.{test}"
    for source in sources
    for suite, test in re.findall(r"^TEST(?:_F|_P)?\((\w+),\s*(\w+)", source.read_text(), re.MULTILINE)
}
named = re.findall(r"`([A-Z]\w+)(?:\.(\w+|\*)(\.\.\.)?)?`", page)
missing = []
for suite, test, shortened in named:
    whole_suite = test in ("", "*")
    wanted = f"{suite}." if whole_suite else f"{suite}.{test}"
    by_prefix = whole_suite or bool(shortened)
    if not any(name.startswith(wanted) if by_prefix else name == wanted for name in defined):
        missing.append(wanted)
if not named or missing:
    sys.exit(f"docs/failures.md: {len(named)} tests named, of which these do not exist: {missing}")
print(f"docs/failures.md: {len(named)} names of tests, all exist")
