"""Writes one SVG plot and one CSV file for each series of the slopes program, from standard input."""
import csv
import pathlib
import sys

out = pathlib.Path(sys.argv[1])
rows = list(csv.DictReader(sys.stdin))
columns = {"cpu_us": "processor time, us", "bytes": "bytes", "memory_bytes": "memory, bytes"}
print(f"{'series':<10} {'x':>7} {'cpu us':>12} {'bytes':>12} {'memory':>12}")
for r in rows:
    print(f"{r['series']:<10} {r['x']:>7} {r['cpu_us']:>12} {r['bytes']:>12} {r['memory_bytes']:>12}")
for series in dict.fromkeys(r["series"] for r in rows):
    part = [r for r in rows if r["series"] == series]
    with open(out / f"{series}.csv", "w", newline="") as f:
        writer = csv.DictWriter(f, part[0].keys(), lineterminator="\n")
        writer.writeheader()
        writer.writerows(part)
    svg = ['<svg xmlns="http://www.w3.org/2000/svg" width="960" height="240" '
           'font-family="sans-serif" font-size="11"><rect width="960" height="240" fill="white"/>']
    xs = [float(r["x"]) for r in part]
    for i, (column, label) in enumerate(columns.items()):
        ys = [float(r[column]) for r in part]
        left, top, width, height = 60 + 310 * i, 30, 230, 160
        x_max, y_max = max(xs), max(max(ys), 1e-9)
        points = [(left + width * x / x_max, top + height * (1 - max(y, 0) / y_max))
                  for x, y in zip(xs, ys)]
        line = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        svg.append(f'<path d="M{left} {top}V{top + height}H{left + width}" fill="none" stroke="#444"/>'
                   f'<polyline points="{line}" fill="none" stroke="#1668b0" stroke-width="2"/>')
        svg += [f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3" fill="#1668b0"/>' for x, y in points]
        svg.append(f'<text x="{left}" y="18">{label}</text>'
                   f'<text x="{left - 4}" y="{top + 6}" text-anchor="end">{y_max:.4g}</text>'
                   f'<text x="{left - 4}" y="{top + height}" text-anchor="end">0</text>'
                   f'<text x="{left + width}" y="{top + height + 16}" text-anchor="end">'
                   f'{x_max:g} {series}</text>')
    svg.append("</svg>")
    (out / f"{series}.svg").write_text("\n".join(svg) + "\n")
