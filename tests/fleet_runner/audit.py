"""Checks the arrivals at the servers and the answers to the callers against what must never happen."""

import bisect
import collections
import json
import os

from fleet_runner.calls import version_key, read_tsv, merge_patch


def audit(fleet):
    arrivals = []
    for name in os.listdir(fleet.folder):
        if name.startswith("arrivals-"):
            for row in read_tsv(os.path.join(fleet.folder, name)):
                if len(row) == 10:
                    arrivals.append((int(row[0]) / 1e6, name[len("arrivals-"):-4], row[2], row[3], row[4], row[5], row[6]))
    arrivals.sort()
    answers = []
    rows = [row for name in os.listdir(fleet.folder) if name.startswith("answers")
            for row in read_tsv(os.path.join(fleet.folder, name))]
    for row in rows:
        answers.append(dict(at=int(row[0]) / 1e6, id=row[1], name=row[2], kind=row[3], status=int(row[4]), verdict=row[5],
                            version=row[6], stamps=row[7], missing=int(row[8]), ms=float(row[9]), gate=row[11], wrong=row[12]))
    verdicts = []

    def verdict(line, exercised, broken):
        word = "broken" if broken else "held" if exercised else "not exercised"
        verdicts.append((line, word, exercised, broken))

    runs = collections.Counter(a[6] for a in arrivals if a[6] != "-" and "-" in a[6])
    forwards = {a["id"] for a in answers if a["kind"] == "forward"}
    verdict("a booking or a log fetch runs twice", len(forwards),
            [f"{i} arrived {runs[i]} times" for i in forwards if runs[i] > 1])
    refused = [a for a in answers if a["verdict"] in ("not_run", "unheard/not_run")]
    verdict("a refused request has run, or runs later", len(refused), [a["id"] for a in refused if runs[a["id"]] > 0])

    searches = [a for a in answers if a["kind"] == "search" and a["status"] == 200]
    mixed_cuts = []
    for a in searches:
        wanted = fleet.cuts_of_version.get(a["version"])
        got = dict(s.split("=") for s in a["stamps"].split(",") if s)
        if wanted is not None and any(wanted.get(s) != c for s, c in got.items()):
            mixed_cuts.append(a["id"])
    parts = [a["id"] + ": " + a["wrong"] for a in searches if "twice" in a["wrong"] or "greatest" in a["wrong"]]
    verdict("a merged answer mixes configurations, lists a part twice or another request's", len(searches), mixed_cuts + parts)
    verdict("a merged answer counts as a success with too few shards", sum(a["missing"] > 0 for a in searches),
            [a["id"] for a in searches if "too few" in a["wrong"] or "add up" in a["wrong"]])
    verdict("a failure dressed as success, or someone else's bytes", sum(a["status"] == 200 for a in answers),
            [a["id"] + ": " + a["wrong"] for a in answers if a["wrong"]])
    verdict("a request reaches a service no configuration allowed", len(arrivals),
            sorted({a[2] for a in arrivals} - fleet.allowed))

    late, regressions = [], []
    acks = sorted((at, version_key(version)) for at, version, _, _ in fleet.acks)
    versioned = [a for a in answers if a["version"] not in ("-", "")]
    for a in versioned:
        done = [v for at, v in acks if at + 3.0 < a["at"]]
        if done and version_key(a["version"]) < max(done):
            late.append(f"{a['id']} under {a['version']} at {a['gate']}")
    by_gate = collections.defaultdict(list)
    for a in versioned:
        by_gate[a["gate"]].append(a)
    for gate, rows in by_gate.items():
        ends = sorted((a["at"] + a["ms"] / 1000, version_key(a["version"])) for a in rows)
        best, highest = [], (0, 0)
        for _, key in ends:
            highest = max(highest, key)
            best.append(highest)
        times = [end for end, _ in ends]
        for a in rows:
            place = bisect.bisect_left(times, a["at"])
            if place > 0 and version_key(a["version"]) < best[place - 1]:
                regressions.append(f"{a['id']} at {gate}: {a['version']} after {best[place - 1]}")
    verdict("a configuration is not in force everywhere 3 s after it was acknowledged, or a node slips back",
            max(0, len(acks) - 1), late + regressions)

    after = []
    for at, name in fleet.departures:
        after += [f"{name} {a[0] - at:.2f} s after" for a in arrivals if a[1] == name and a[0] > at + 3.0]
    zone_of = {s["name"]: s["zone"] for s in fleet.servers}
    for at, until, zone in fleet.emptied_zones:
        after += [f"{a[1]} {a[0] - at:.2f} s after its zone was emptied" for a in arrivals
                  if zone_of.get(a[1]) == zone and at + 5.0 < a[0] < (until or 1e18)]
    verdict("a leaving server or an emptied zone gets work", len(fleet.departures) + len(fleet.emptied_zones), after)

    worst_excess, overspent = {}, []
    by_service = collections.defaultdict(list)
    seen = set()
    for a in arrivals:
        key = (a[3], a[4])
        by_service[a[2]].append((a[0], key not in seen))
        seen.add(key)
    extras_all = 0
    for service, rows in by_service.items():
        first = extra = start = 0
        for at, is_first in rows:
            first += is_first
            extra += not is_first
            extras_all += not is_first
            while rows[start][0] < at - 10:
                first -= rows[start][1]
                extra -= not rows[start][1]
                start += 1
            worst_excess[service] = max(worst_excess.get(service, 0), extra - 0.2 * first)
        if worst_excess[service] > 60:
            overspent.append(f"{service}: {worst_excess[service]:.1f} above a fifth")
    verdict("second servers cost more than a fifth of the traffic plus sixty arrivals in ten seconds", extras_all, overspent)

    pushed, peak = [], 0
    for at, name, capacity, ramp in fleet.fresh_servers:
        times = [a[0] for a in arrivals if a[1] == name]
        start = 0
        for end, moment in enumerate(times):
            while times[start] < moment - 1:
                start += 1
            allowed_rate = capacity * min(1.0, 0.2 + 0.8 * max(0.0, moment - at) / ramp)
            peak = max(peak, (end - start + 1) / allowed_rate)
            if end - start + 1 > 1.5 * allowed_rate + 1:
                pushed.append(f"{name} {moment - at:.2f} s after its start: {end - start + 1} in a second, bears {allowed_rate:.0f}")
    verdict("a fresh server is pushed past one and a half times what it bears", len(fleet.fresh_servers), pushed)

    version, document = fleet.current_version()
    lost = []
    if version is None:
        lost.append("no configuration can be read back")
    else:
        if acks and version_key(version) < acks[-1][1]:
            lost.append(f"{version} is older than the last acknowledged one")
        text = json.dumps(document)
        if not fleet.unknowns and fleet.acks:
            want = fleet.expected
            if want is not None and want != document:
                lost.append("the configuration read back is not the one acknowledged")
        for _, body in fleet.refusals:
            if "never" in json.dumps(body) and "never" in text:
                lost.append("a refused change is in force")
    verdict("an acknowledged configuration is missing when read back, or a refused one is in force", len(acks), lost)
    verdict("after a total loss service has not returned 12 s after the machines come back", len(fleet.restored),
            [f"{r}" for r in fleet.restored if r is None or r > 12])

    print("\naudit")
    for line, word, exercised, broken in verdicts:
        print(f"  {word:14s} {line} ({exercised} cases)")
        for evidence in broken[:5]:
            print(f"                 {evidence}")
    print(f"  arrivals {len(arrivals)}, extra {extras_all}, most above a fifth "
          f"{max(worst_excess.values(), default=0):.1f} of 60" + (f", fresh peak {peak:.2f}" if fleet.fresh_servers else "") +
          (f", total loss to ready {fleet.restored[0]:.1f} s" if fleet.restored and fleet.restored[0] else ""))
    return verdicts


def steadiness(fleet, seconds):
    """Prints memory and descriptor growth over the last two thirds of a run of 120 s or more, for processes that lived through half of it."""
    rows = collections.defaultdict(list)
    for (name, _), samples in fleet.samples.items():
        late = [s for s in samples if s[0] > samples[-1][0] - seconds * 2 / 3]
        if seconds >= 120 and late[-1][0] - late[0][0] >= seconds / 3:
            half = len(late) // 2
            mean = [sum(s[place] for s in part) / len(part) for part in (late[:half], late[half:]) for place in (1, 2)]
            rows[name.split("-")[0]].append((mean[2] / mean[0], mean[3] / mean[1], late[-1][1], late[-1][2], late[-1][0] - late[0][0]))
    for program, values in sorted(rows.items()):
        growth = sorted(v[0] for v in values)
        count = sorted(v[1] for v in values)
        print(f"  {program}: {len(values)} processes watched for {min(v[4] for v in values):.0f} s or more; second half to first: "
              f"memory {growth[0]:.3f} to {growth[-1]:.3f}, descriptors {count[0]:.3f} to {count[-1]:.3f}; "
              f"at most {max(v[2] for v in values) / 1024:.0f} MiB, {max(v[3] for v in values)} descriptors")

def cuts_by_version(fleet):
    out, document = {}, None
    for _, version, body, method in fleet.acks:
        document = body if method == "PUT" else merge_patch(document, body)
        out[version] = {s["service"]: s["cut"] for search in document.get("searches", {}).values() for s in search["shards"]}
    return out
