#!/usr/bin/env python3
"""Fits a + b n, a + b n log n or a + b n^2 to reports of scale_simulation and cost_benchmark; prints a table, draws an SVG."""

import argparse
import json
import math
import sys

MODELS = [("a + b n", lambda n: n), ("a + b n log n", lambda n: n * math.log2(max(n, 2))), ("a + b n^2", lambda n: n * n)]


def fit(points, model):
    xs = [model(n) for n, _ in points]
    ys = [y for _, y in points]
    count = len(points)
    mean_x, mean_y = sum(xs) / count, sum(ys) / count
    spread = sum((x - mean_x) ** 2 for x in xs)
    b = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread if spread else 0.0
    a = mean_y - b * mean_x
    total = sum((y - mean_y) ** 2 for y in ys)
    residual = sum((y - a - b * x) ** 2 for x, y in zip(xs, ys))
    return a, b, 1 - residual / total if total else 1.0


def best_fit(points):
    fits = [(name, *fit(points, model), model) for name, model in MODELS]
    return max(fits, key=lambda one: round(one[3], 3))


def number_at(value, path):
    for key in path:
        if not isinstance(value, dict) or key not in value:
            return None
        value = value[key]
    return value if isinstance(value, (int, float)) and value >= 0 else None


def series_of(reports):
    series = {}

    def add(title, n, y):
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
                        add(f"{what}, {row['unit']} (n: {key})", value, row[which])
            continue
        tables = report["zones"] == 1
        n = report["shards"] if tables else report["nodes"]
        axis = "shards, one zone of 72 nodes" if tables else "nodes"
        add(f"state, bytes (n: {axis})", n, report["state_bytes"])
        add(f"heap for a hollow node, bytes (n: {axis})", n, report["heap_per_node"])
        for phase, path in (("steady", ["steady"]), ("churn", ["churn"]), ("zone lost", ["zone", "stretch"]),
                            ("primary lost", ["primary", "stretch"]), ("region cut", ["region", "stretch"])):
            measurement = report
            for key in path:
                measurement = measurement.get(key, {})
            for role in ("front", "home", "primary", "backup", "witness", "spare"):
                for key in ("sent_per_s", "received_per_s", "sent_bytes_per_s", "received_bytes_per_s", "processor_share", "peers"):
                    add(f"{phase}, {role}: {key} (n: {axis})", n, number_at(measurement, ["roles", role, key, "median"]))
            for kind in measurement.get("kinds", {}):
                for key in ("sent_per_s", "bytes_each", "seal_us_each", "hear_us_each"):
                    add(f"{phase}, {kind}: {key} (n: {axis})", n, number_at(measurement, ["kinds", kind, key]))
            add(f"{phase}: list reads a second (n: {axis})", n, number_at(measurement, ["list_reads_per_s"]))
        for key in ("acknowledged_ms", "everywhere_ms"):
            add(f"change {key} (n: {axis})", n, number_at(report, ["changes", key, "most"]))
        add(f"a killed node known everywhere, ms (n: {axis})", n, number_at(report, ["loss", "killed_known_ms", "most"]))
        add(f"a lost zone known everywhere, ms (n: {axis})", n, number_at(report, ["zone", "known_ms"]))
    return series


def chart(title, points, line, place):
    width, height, left, top = 300, 190, 60 + (place % 3) * 390, 40 + (place // 3) * 270
    name, a, b, _, model = line
    most_x = max(n for n, _ in points)
    most_y = max(max(y for _, y in points), a + b * model(most_x), 1e-9)
    out = [f'<text x="{left}" y="{top - 12}" font-size="12">{title}</text>',
           f'<rect x="{left}" y="{top}" width="{width}" height="{height}" fill="none" stroke="#999"/>']
    for n, y in points:
        out.append(f'<circle cx="{left + width * n / most_x:.1f}" cy="{top + height * (1 - y / most_y):.1f}" r="3" fill="#0a5"/>')
    path = []
    for step in range(41):
        n = most_x * step / 40
        y = min(max(a + b * model(n), 0), most_y)
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
    options = parser.parse_args()
    reports = []
    for name in options.reports:
        with open(name, encoding="utf-8") as file:
            reports.append(json.load(file))
    series = series_of(reports)
    print("| what | runs | at the most n: least / most | best shape | a | b | R2 | R2 of a line | fit at %g |\n|---|---|---|---|---|---|---|---|---|" % options.at)
    for title in sorted(series):
        points = sorted(series[title])
        if options.only not in title or len({n for n, _ in points}) < 3:
            continue
        name, a, b, r_squared, model = best_fit(points)
        top = [y for n, y in points if n == points[-1][0]]
        print(f"| {title} | {len(points)} | {points[-1][0]:g}: {min(top):.4g} / {max(top):.4g} | {name} | {a:.4g} | {b:.4g} | {r_squared:.3f} "
              f"| {fit(points, MODELS[0][1])[2]:.3f} | {a + b * model(options.at):.4g} |")
    if options.svg:
        wanted = [title for title in options.draw.split(";") if title in series] or sorted(series)[:9]
        parts = [chart(title, sorted(series[title]), best_fit(sorted(series[title])), place) for place, title in enumerate(wanted)]
        height = 60 + 270 * ((len(wanted) + 2) // 3)
        with open(options.svg, "w", encoding="utf-8") as file:
            file.write(f'<svg xmlns="http://www.w3.org/2000/svg" width="1200" height="{height}" font-family="sans-serif">\n'
                       '<rect width="100%" height="100%" fill="#fff"/>\n' + "\n".join(parts) + "\n</svg>\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
