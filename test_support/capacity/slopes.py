#!/usr/bin/env python3
"""Fits the reports of scale_simulation and cost_benchmark: a line, n log n or a square; prints a table, draws an SVG."""

import argparse
import json
import math
import sys

SHAPES = [("a + b n", lambda n: n), ("a + b n log n", lambda n: n * math.log2(max(n, 2))), ("a + b n^2", lambda n: n * n)]


def fit(points, shape):
    xs = [shape(n) for n, _ in points]
    ys = [y for _, y in points]
    count = len(points)
    middle_x, middle_y = sum(xs) / count, sum(ys) / count
    spread = sum((x - middle_x) ** 2 for x in xs)
    b = sum((x - middle_x) * (y - middle_y) for x, y in zip(xs, ys)) / spread if spread else 0.0
    a = middle_y - b * middle_x
    total = sum((y - middle_y) ** 2 for y in ys)
    left = sum((y - a - b * x) ** 2 for x, y in zip(xs, ys))
    return a, b, 1 - left / total if total else 1.0


def best(points):
    fits = [(name, *fit(points, shape), shape) for name, shape in SHAPES]
    return max(fits, key=lambda one: round(one[3], 3))


def dig(value, path):
    for key in path:
        if not isinstance(value, dict) or key not in value:
            return None
        value = value[key]
    return value if isinstance(value, (int, float)) and value >= 0 else None


def series_of(reports):
    series = {}

    def put(title, n, y):
        if y is not None:
            series.setdefault(title, []).append((n, y))

    for report in reports:
        if "rows" in report:
            for row in report["rows"]:
                axes = {key: value for key, value in row["at"].items() if key != "in_flight" and not (key == "routes" and value == 1)}
                depth = axes.pop("budget_depth", None)
                what = row["what"] + ("" if depth is None else f", budget of {depth:g}")
                if "routes" in axes:
                    axes = {"routes": axes["routes"]}
                for key, value in axes.items():
                    for which in ("least", "median", "most"):
                        put(f"{what}, {row['unit']} (n: {key})", value, row[which])
            continue
        tables = report["zones"] == 1
        n = report["shards"] if tables else report["nodes"]
        mark = "shards, one zone of 72 nodes" if tables else "nodes"
        put(f"state, bytes (n: {mark})", n, report["state_bytes"])
        put(f"heap for a hollow node, bytes (n: {mark})", n, report["heap_per_node"])
        for phase, path in (("steady", ["steady"]), ("churn", ["churn"]), ("zone lost", ["zone", "stretch"]),
                            ("primary lost", ["primary", "stretch"]), ("region cut", ["region", "stretch"])):
            stretch = report
            for key in path:
                stretch = stretch.get(key, {})
            for role in ("front", "home", "primary", "backup", "witness", "spare"):
                for key in ("sent_per_s", "received_per_s", "sent_bytes_per_s", "received_bytes_per_s", "processor_share", "peers"):
                    put(f"{phase}, {role}: {key} (n: {mark})", n, dig(stretch, ["roles", role, key, "median"]))
            for kind in stretch.get("kinds", {}):
                for key in ("sent_per_s", "bytes_each", "seal_us_each", "hear_us_each"):
                    put(f"{phase}, {kind}: {key} (n: {mark})", n, dig(stretch, ["kinds", kind, key]))
            put(f"{phase}: list reads a second (n: {mark})", n, dig(stretch, ["list_reads_per_s"]))
        for key in ("acknowledged_ms", "everywhere_ms"):
            put(f"change {key} (n: {mark})", n, dig(report, ["changes", key, "most"]))
        put(f"a killed node known everywhere, ms (n: {mark})", n, dig(report, ["loss", "killed_known_ms", "most"]))
        put(f"a lost zone known everywhere, ms (n: {mark})", n, dig(report, ["zone", "known_ms"]))
    return series


def drawing(title, points, line, place):
    width, height, left, top = 300, 190, 60 + (place % 3) * 390, 40 + (place // 3) * 270
    name, a, b, _, shape = line
    most_x = max(n for n, _ in points)
    most_y = max(max(y for _, y in points), a + b * shape(most_x), 1e-9)
    out = [f'<text x="{left}" y="{top - 12}" font-size="12">{title}</text>',
           f'<rect x="{left}" y="{top}" width="{width}" height="{height}" fill="none" stroke="#999"/>']
    for n, y in points:
        out.append(f'<circle cx="{left + width * n / most_x:.1f}" cy="{top + height * (1 - y / most_y):.1f}" r="3" fill="#0a5"/>')
    path = []
    for step in range(41):
        n = most_x * step / 40
        y = min(max(a + b * shape(n), 0), most_y)
        path.append(f"{left + width * n / most_x:.1f},{top + height * (1 - y / most_y):.1f}")
    out.append(f'<polyline points="{" ".join(path)}" fill="none" stroke="#05a"/>')
    out.append(f'<text x="{left - 4}" y="{top + 10}" font-size="10" text-anchor="end">{most_y:.3g}</text>')
    out.append(f'<text x="{left + width}" y="{top + height + 14}" font-size="10" text-anchor="end">n = {most_x:g}, {name}</text>')
    return "\n".join(out)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("reports", nargs="+")
    parser.add_argument("--at", type=float, default=1300, help="size to say the fit at")
    parser.add_argument("--only", default="", help="rows whose title holds this text")
    parser.add_argument("--svg", default="")
    parser.add_argument("--draw", default="", help="titles to draw, ; between")
    given = parser.parse_args()
    reports = []
    for name in given.reports:
        with open(name, encoding="utf-8") as file:
            reports.append(json.load(file))
    series = series_of(reports)
    print("| what | runs | at the most n: least / most | best shape | a | b | R2 | R2 of a line | fit at %g |\n|---|---|---|---|---|---|---|---|---|" % given.at)
    for title in sorted(series):
        points = sorted(series[title])
        if given.only not in title or len({n for n, _ in points}) < 3:
            continue
        name, a, b, good, shape = best(points)
        top = [y for n, y in points if n == points[-1][0]]
        print(f"| {title} | {len(points)} | {points[-1][0]:g}: {min(top):.4g} / {max(top):.4g} | {name} | {a:.4g} | {b:.4g} | {good:.3f} "
              f"| {fit(points, SHAPES[0][1])[2]:.3f} | {a + b * shape(given.at):.4g} |")
    if given.svg:
        wanted = [title for title in given.draw.split(";") if title in series] or sorted(series)[:9]
        parts = [drawing(title, sorted(series[title]), best(sorted(series[title])), place) for place, title in enumerate(wanted)]
        height = 60 + 270 * ((len(wanted) + 2) // 3)
        with open(given.svg, "w", encoding="utf-8") as file:
            file.write(f'<svg xmlns="http://www.w3.org/2000/svg" width="1200" height="{height}" font-family="sans-serif">\n'
                       '<rect width="100%" height="100%" fill="#fff"/>\n' + "\n".join(parts) + "\n</svg>\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
