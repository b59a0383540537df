"""Feeds the checks of the sources one fault at a time: each must be found, and sound sources must pass."""
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(sys.argv[1])
SOUND = """#pragma once

/// A module.
namespace limeramp::sample {

/// An item.
struct Item {
  int value = 0;
};

/// A function.
int numberOf(Item const& item);

}  // namespace limeramp::sample
"""
FAULTS = [
    ("documented", "a struct without a comment", "/// An item.\n", ""),
    ("documented", "a function without a comment", "/// A function.\n", ""),
    ("documented", "a header without any comment", "///", "//"),
    ("vocabulary", "a withdrawn word as a type", "Item", "Ghost"),
    ("vocabulary", "a withdrawn word inside a name", "numberOf", "numberOfLegs"),
    ("vocabulary", "a withdrawn word with underscores", "value", "cold_value"),
]
SAME = [
    ("vocabulary", "a withdrawn word in a comment", "An item.", "A ghost."),
    ("vocabulary", "a withdrawn word in a literal", "int value = 0;", 'char const* value = "ghost";'),
    ("vocabulary", "a withdrawn word as part of a longer one", "value", "coldest"),
]


def passes(check, text):
    with tempfile.TemporaryDirectory() as folder:
        header = pathlib.Path(folder, "libs/sample/include/limeramp/sample/item.h")
        header.parent.mkdir(parents=True)
        header.write_text(text)
        pathlib.Path(folder, ".ci").mkdir()
        shutil.copy(ROOT / ".ci/vocabulary.txt", pathlib.Path(folder, ".ci/vocabulary.txt"))
        return subprocess.run([sys.executable, "-B", ROOT / ".ci" / check, folder], capture_output=True).returncode == 0


failed = 0
for check in ("documented", "vocabulary"):
    if not passes(check, SOUND):
        failed += 1
        print(f"FAILED {check}: sound sources are refused")
for wanted, cases in ((False, FAULTS), (True, SAME)):
    for check, name, old, new in cases:
        if old not in SOUND or passes(check, SOUND.replace(old, new)) != wanted:
            failed += 1
            print(f"FAILED {check}: {name}")
print(f"{2 + len(FAULTS) + len(SAME) - failed} passed, {failed} failed")
sys.exit(1 if failed else 0)
