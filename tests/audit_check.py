"""Feeds one fault at a time to the audit of the drills: it must say broken for that line and held, or not exercised, for the others."""

import contextlib
import io
import os
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, HERE)
from fleet_runner.audit import audit  # noqa: E402

DOCUMENT = {"searches": {}, "routes": {}}


class AuditCase:
    def __init__(self, folder):
        self.folder = folder
        self.acks = [(100.0, "1.1", DOCUMENT, "PUT"), (110.0, "1.2", DOCUMENT, "PUT")]
        self.refusals, self.unknowns, self.restored = [], [], [2.0]
        self.allowed = {"p-0", "p-1", "logs"}
        self.departures, self.emptied_zones = [(120.0, "p-0-s1")], [[120.0, None, "z2"]]
        self.fresh_servers = [(130.0, "p-1-s9", 10.0, 3.0)]
        self.cuts_of_version = {"1.2": {"p-0": "c2", "p-1": "c2"}}
        self.servers = [{"name": "p-0-s0", "zone": "z1"}, {"name": "p-0-s1", "zone": "z1"}, {"name": "p-1-s9", "zone": "z1"},
                        {"name": "logs-s0", "zone": "z1"}, {"name": "logs-s1", "zone": "z2"}]
        self.expected = DOCUMENT
        self.readBack = ("1.2", DOCUMENT)
        self.arrivals = [(111.0, "p-0-s0", "p-0", "r1", "p-0", "k-1"), (111.0, "p-1-s9", "p-1", "r1", "p-1", "k-1"),
                         (111.5, "p-1-s9", "p-1", "r1", "p-1", "k-1"), (112.0, "logs-s0", "logs", "r2", "logs", "k-2")]
        self.answers = [dict(at=111.0, id="k-1", kind="search", status=200, verdict="ran", version="1.2", stamps="p-0=c2,p-1=c2", missing=0),
                        dict(at=111.2, id="k-3", kind="search", status=200, verdict="ran", version="1.2", stamps="p-0=c2", missing=1),
                        dict(at=112.0, id="k-2", kind="forward", status=200, verdict="ran", version="1.2", stamps="", missing=0),
                        dict(at=113.0, id="k-4", kind="forward", status=503, verdict="not_run", version="-", stamps="", missing=0)]

    def current_version(self):
        return self.readBack

    def write(self):
        rows = {}
        for at, server, service, request, shard, caller in self.arrivals:
            rows.setdefault(server, []).append([str(int(at * 1e6)), "-", service, request, shard, "-", caller, "-", "-", "-"])
        for server, lines in rows.items():
            with open(os.path.join(self.folder, f"arrivals-{server}.tsv"), "w") as file:
                file.writelines("\t".join(line) + "\n" for line in lines)
        with open(os.path.join(self.folder, "answers.tsv"), "w") as file:
            for a in self.answers:
                file.write("\t".join([str(int(a["at"] * 1e6)), a["id"], "n", a["kind"], str(a["status"]), a["verdict"], a["version"],
                                      a["stamps"], str(a["missing"]), "5.0", "-", a.get("gate", "g1"), a.get("wrong", "")]) + "\n")


def verdicts_of(change):
    with tempfile.TemporaryDirectory() as folder:
        audit_case = AuditCase(folder)
        change(audit_case)
        audit_case.write()
        with contextlib.redirect_stdout(io.StringIO()):
            return [word for _, word, _, _ in audit(audit_case)]


def add_answer(**more):
    base = dict(at=114.0, id="k-9", kind="search", status=200, verdict="ran", version="1.2", stamps="p-0=c2,p-1=c2", missing=0)
    return lambda audit_case: audit_case.answers.append(dict(base, **more))


def add_arrivals(*rows):
    return lambda audit_case: audit_case.arrivals.extend(rows)


def clear_everything(audit_case):
    audit_case.acks, audit_case.departures, audit_case.emptied_zones, audit_case.fresh_servers, audit_case.restored = [], [], [], [], []
    audit_case.answers, audit_case.arrivals = [], []


def set_attribute(name, value):
    return lambda audit_case: setattr(audit_case, name, value)


FAULTS = [
    (0, "a forward arrives twice", add_arrivals((112.5, "logs-s0", "logs", "r3", "logs", "k-2"))),
    (1, "a refused one arrives", add_arrivals((113.5, "logs-s0", "logs", "r4", "logs", "k-4"))),
    (2, "cuts of two configurations", add_answer(stamps="p-0=c1,p-1=c2")),
    ((2, 4), "a record twice", add_answer(wrong="twice: x")),
    ((3, 4), "too few shards", add_answer(missing=1, wrong="too few shards")),
    (4, "another's bytes", add_answer(kind="forward", wrong="not its own body")),
    (5, "a service never allowed", add_arrivals((112.5, "decoy-s0", "decoy", "r3", "decoy", "k-5"))),
    (6, "an old version late", add_answer(at=113.5, version="1.1", stamps="", gate="g2")),
    (6, "a node slips back", lambda audit_case: (add_answer(at=111.5, gate="g3")(audit_case), add_answer(at=112.0, version="1.1", stamps="", gate="g3")(audit_case))),
    (7, "work after a departure", add_arrivals((123.5, "p-0-s1", "p-0", "r5", "p-0", "k-6"))),
    (7, "work in an emptied zone", add_arrivals((125.5, "logs-s1", "logs", "r5", "logs", "k-6"))),
    (8, "too many extra attempts", add_arrivals(*[(114 + n / 100, "p-0-s0", "p-0", "r1", "p-0", "k-1") for n in range(70)])),
    (9, "a fresh server pushed", add_arrivals(*[(130.1 + n / 100, "p-1-s9", "p-1", f"x{n}", "p-1", f"k-x{n}") for n in range(20)])),
    (10, "an older one read back", set_attribute("readBack", ("1.1", DOCUMENT))),
    (10, "nothing read back", set_attribute("readBack", (None, None))),
    (10, "another document read back", set_attribute("readBack", ("1.2", {"searches": {}}))),
    (10, "a refused one in force", lambda audit_case: (audit_case.refusals.append((111.0, {"never": 1})), audit_case.unknowns.append(1),
                                                  set_attribute("readBack", ("1.2", {"never": 1}))(audit_case))),
    (11, "not back in time", set_attribute("restored", [13.0])),
    (11, "not back at all", set_attribute("restored", [None])),
]


def main():
    failed = 0

    def check(name, got, wanted):
        nonlocal failed
        failed += got != wanted
        print(("ok    " if got == wanted else "WRONG ") + name + ("" if got == wanted else f": {got}"))
    whole = verdicts_of(lambda audit_case: None)
    check("a good day", whole, ["held"] * 12)
    for lines, name, change in FAULTS:
        wanted = lines if isinstance(lines, tuple) else (lines,)
        check(name, verdicts_of(change), ["broken" if place in wanted else "held" for place in range(12)])
    quiet = verdicts_of(clear_everything)
    check("an idle day", quiet, ["not exercised"] * 12)
    print(f"{len(FAULTS) + 2 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
