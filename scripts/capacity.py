#!/usr/bin/env python3
"""Works out the capacity of the fleet at the design size from measured figures.

Reads the files of JSON lines in docs/measured/, fits straight lines by least squares and extrapolates to the design
size. Usage: scripts/capacity.py --write | --check
  --write  regenerates docs/CAPACITY.md
  --check  exits with 1 if docs/CAPACITY.md differs from what the files give
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
MEASURED = ROOT / "docs" / "measured"

# Sections 1.4 and 1.5 of the design page.
DESIGN_NODES = 3500
DESIGN_DATA_CENTRES = 15
CHANGES_PER_DAY = 2600
IN_FORCE_MS = 3000
PLATFORM_CALLS_PER_S = 2000
CALLS_PER_S_AND_NODE = 63
PROBES_PER_S_AND_NODE = 5  # probe_budget_per_s limits the node as a whole.
BUDGET = {"bytes_per_s": 9000, "cpu_percent": 2.7, "memory_bytes": 128e6, "messages_per_s": None}

METRICS = {
    "bytes_per_s": "bytes/s (in and out)",
    "messages_per_s": "messages/s (in and out)",
    "cpu_percent": "CPU (% of a core)",
    "memory_bytes": "memory (bytes)",
}
NOT_MEASURED = "not measured"

# A fit with a lower coefficient of determination is not used to extrapolate.
MIN_R2 = 0.8


def load(name):
    """Returns the JSON objects of a file, or None if there is no file."""
    path = MEASURED / name
    if not path.exists():
        return None
    lines = []
    for line_number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        try:
            value = json.loads(line)
        except ValueError as error:
            sys.exit(f"{path.relative_to(ROOT)}:{line_number}: no JSON object: {error}")
        if isinstance(value, dict):
            lines.append(value)
    return lines


class Fit:
    """Least-squares line y = intercept + slope * x through the points (x, y)."""

    def __init__(self, points):
        self.points = sorted(points)
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        variance = sum((x - mean_x) ** 2 for x, _ in self.points)
        covariance = sum((x - mean_x) * (y - mean_y) for x, y in self.points)
        self.slope = covariance / variance if variance else 0.0
        self.intercept = mean_y - self.slope * mean_x
        total = sum((y - mean_y) ** 2 for _, y in self.points)
        residual = sum((y - self.predict(x)) ** 2 for x, y in self.points)
        self.r2 = 1 - residual / total if total else 1.0

    def predict(self, x):
        return self.intercept + self.slope * x

    def has_trend(self):
        return len(self.points) >= 3 and self.r2 >= MIN_R2

    def estimate(self, x):
        """Returns the largest value measured at x. Without one, returns the line's value if there is a trend, else the
        largest value of all."""
        measured = [value for size, value in self.points if size == x]
        if measured:
            return max(measured)
        if self.has_trend():
            return max(0.0, self.predict(x))
        return max(value for _, value in self.points)

    def size_at(self, bound):
        """Returns the x at which the line reaches the bound, or None without a rising trend."""
        if not self.has_trend() or self.slope <= 0:
            return None
        return (bound - self.intercept) / self.slope


def fit_lines(lines, metric, x_name="nodes", **filters):
    """Fits a metric over all lines whose fields equal the filters; returns None if there are no such lines."""
    points = [
        (line[x_name], line[metric])
        for line in lines or []
        if metric in line and x_name in line and all(line.get(key) == value for key, value in filters.items())
    ]
    return Fit(points) if points else None


def format_number(value):
    if value is None:
        return NOT_MEASURED
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(header, rows):
    text = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    return text + ["| " + " | ".join(row) + " |" for row in rows] + [""]


def design_size(lines, role):
    """Returns the size to extrapolate to: that of one data centre if the lines were measured in one (field scope)."""
    is_per_data_centre = any(line.get("scope") == "data_centre" for line in lines or [] if line.get("role") == role)
    return DESIGN_NODES // DESIGN_DATA_CENTRES if is_per_data_centre else DESIGN_NODES


def per_change(distribution, role, metric):
    """Returns the cost per second of 2,600 changes a day, without the steady cost during the measured window."""
    column = {"bytes_per_s": "bytes_per_node", "messages_per_s": "messages_per_node", "cpu_percent": "cpu_ms_per_node"}
    if metric not in column:
        return None
    change = fit_lines(distribution, column[metric], kind="change", design="readers")
    # Readers and bridges are too few to show in the mean, so they are charged with the bytes of the node that had most.
    if metric == "bytes_per_s" and role != "node":
        change = fit_lines(distribution, "worst_bytes_per_node", kind="change", design="readers") or change
    steady = (fit_lines(distribution, metric, kind="steady", role="node")
              or fit_lines(distribution, metric, kind="steady", role=role))
    windows = [line["window_s"] for line in distribution or [] if "window_s" in line]
    if change is None or steady is None or not windows:
        return None
    value = change.estimate(DESIGN_NODES)
    if metric == "cpu_percent":
        value /= 10.0  # One millisecond in a second is 0.1% of a core.
    return max(0.0, value - steady.estimate(DESIGN_NODES) * windows[0]) * CHANGES_PER_DAY / 86400


def document_bytes(distribution):
    """Returns the size of the document that was changed in the measurement, or None."""
    sizes = [line["document_bytes"] for line in distribution or [] if line.get("kind") == "change" and "document_bytes" in line]
    return max(sizes) if sizes else None


def reader_limit(files):
    """Returns the text size in bytes at which the full texts of all changes use up the rest of a reader's budget.

    It does not depend on the size of the fleet. None if nothing was measured.
    """
    measured_parts = [value for name, value in role_parts("reader", "bytes_per_s", files)
                      if value is not None and "full texts" not in name]
    if not measured_parts:
        return None
    return (BUDGET["bytes_per_s"] - sum(measured_parts)) * 86400 / CHANGES_PER_DAY


def role_parts(role, metric, files):
    """Returns the parts of a role's metric as (mechanism, value or None if not measured)."""
    membership_role = "node" if role == "reader" else role
    membership = fit_lines(files["membership"], metric, role=membership_role)
    size = design_size(files["membership"], membership_role)
    parts = [("membership (pings, rumours, digests)", membership.estimate(size) if membership else None)]
    steady = fit_lines(files["distribution"], metric, kind="steady", role=role)
    value = steady.estimate(DESIGN_NODES) if steady else None
    if metric == "memory_bytes":
        largest = [line["memory_bytes"] for line in files["distribution"] or [] if line.get("kind") == "largest_documents"]
        parts.append(("documents, previous texts and frames", max(largest + [value or 0]) if largest or value else None))
    else:
        parts.append(("document revisions in attachments and exchanges", value))
        parts.append((f"{CHANGES_PER_DAY:,} changes a day", per_change(files["distribution"], role, metric)))
    if role == "reader" and metric == "bytes_per_s":
        size = document_bytes(files["distribution"])
        parts.append((f"full texts of {format_number(size)} bytes from the platform (computed)",
                      size * CHANGES_PER_DAY / 86400 if size else None))
    if metric == "bytes_per_s":
        parts.append((f"load probes ({PROBES_PER_S_AND_NODE}/s)", probe_bytes(files)))
    if metric == "messages_per_s":
        parts.append((f"load probes ({PROBES_PER_S_AND_NODE}/s)", 4.0 * PROBES_PER_S_AND_NODE))
    return parts


def probe_bytes(files):
    """Returns the bytes per second of the full probe budget, from the measured bytes of one probe at all nodes involved."""
    probe = [line["bytes_per_probe"] for line in files["real-nodes"] or [] if line.get("bytes_per_probe")]
    return max(probe) * PROBES_PER_S_AND_NODE if probe else None


def real_rows(files):
    rows = []
    for line in files["real-nodes"] or []:
        rows.append([line["kind"], str(line["nodes"]), *(format_number(line.get(metric)) for metric in METRICS)])
    return rows


def role_rows(files):
    rows = []
    budget_shares = []
    for role in ("node", "reader", "bridge"):
        for metric, title in METRICS.items():
            parts = role_parts(role, metric, files)
            measured_parts = [(name, value) for name, value in parts if value is not None]
            missing = [name for name, value in parts if value is None]
            total = sum(value for _, value in measured_parts) if measured_parts else None
            budget = BUDGET[metric]
            largest_part = max(measured_parts, key=lambda part: part[1])[0] if measured_parts else "-"
            text = format_number(total) + (f" (without: {', '.join(missing)})" if measured_parts and missing else "")
            share = f"{100 * total / budget:.1f}%" if budget and total is not None else "-"
            rows.append([role, title, text, format_number(budget) if budget else "none", share, largest_part])
            if budget and total is not None:
                budget_shares.append((total / budget, role, title))
    return rows, budget_shares


def data_path_rows(files):
    rows = []
    for role, name in (("sender", "node as sender (calling node)"), ("receiver", "node as receiver (serving node)")):
        for metric, title in METRICS.items():
            over_calls = fit_lines(files["data-path"], metric, x_name="calls_per_s", role=role)
            over_nodes = fit_lines(files["data-path"], metric, role=role)
            if over_calls:
                text, r2 = format_number(over_calls.estimate(CALLS_PER_S_AND_NODE)), f"{over_calls.r2:.3f}"
            elif over_nodes:
                text, r2 = format_number(over_nodes.estimate(DESIGN_NODES)), f"{over_nodes.r2:.3f}"
            else:
                text, r2 = NOT_MEASURED, "-"
            rows.append([name, title, text, r2])
    return rows


def platform_rows(distribution):
    rows = []
    limits = []
    phases = []
    for line in distribution or []:
        key = (line.get("design"), line.get("phase"))
        if line.get("kind") == "platform" and key not in phases:
            phases.append(key)
    for design, phase in phases:
        filters = {"kind": "platform", "design": design, "phase": phase}
        mean = fit_lines(distribution, "calls_per_s", **filters)
        peak = fit_lines(distribution, "peak_calls_per_s", **filters)
        waiting = fit_lines(distribution, "waiting_calls", **filters)
        recovery = fit_lines(distribution, "recovery_s", **filters) if phase in PHASES_WITH_RECOVERY else None
        line = peak or mean
        size = line.size_at(PLATFORM_CALLS_PER_S)
        rows.append([
            design.replace("_", " "), phase.replace("_", " "),
            *[format_number(value.estimate(DESIGN_NODES)) if value else "-" for value in (mean, peak, waiting, recovery)],
            f"{line.slope:.4g}", f"{line.r2:.3f}", format_number(size) if size else "no linear trend",
        ])
        if size and design == "readers":
            limits.append((size, f"the platform's {PLATFORM_CALLS_PER_S:,} calls/s, phase {phase.replace('_', ' ')}"))
    return rows, limits


PHASES_WITH_RECOVERY = ("fleet_restart", "data_centre_restart", "service_back")


def change_rows(distribution):
    rows = []
    for line in distribution or []:
        if line.get("kind") == "change":
            rows.append([line["design"].replace("_", " "), format_number(line["nodes"]), format_number(line["p50_ms"]),
                         format_number(line["p99_ms"]), format_number(line["worst_ms"]),
                         format_number(line.get("bytes_per_node")), format_number(line.get("messages_per_node"))])
    return sorted(rows, key=lambda row: (row[0] != "readers", row[0], float(row[1].replace(",", ""))))


def fit_rows(files):
    rows = []
    limits = []
    for name in ("membership", "distribution"):
        roles = []
        for line in files[name] or []:
            if "role" in line and line["role"] not in roles:
                roles.append(line["role"])
        for role in roles:
            for metric in METRICS:
                line = fit_lines(files[name], metric, role=role)
                if line is None:
                    continue
                size = line.size_at(BUDGET[metric]) if BUDGET[metric] else None
                if size and role != "full_state_gossip":
                    if design_size(files[name], role) != DESIGN_NODES:
                        size *= DESIGN_DATA_CENTRES
                    limits.append((size, f"{METRICS[metric]} of {name}, role {role}"))
                rows.append([name, role.replace("_", " "), METRICS[metric], f"{line.slope:.4g}", f"{line.intercept:.4g}",
                             f"{line.r2:.3f}", str(len(line.points)),
                             "line" if line.has_trend() else "largest measured value (no linear trend)"])
    return rows, limits


def render_page(files):
    roles, budget_shares = role_rows(files)
    platform, platform_limits = platform_rows(files["distribution"])
    fits, limits = fit_rows(files)
    missing = [f"docs/measured/{name}.json" for name, lines in files.items() if lines is None]
    text = [
        "# Capacity",
        "",
        "Generated by `scripts/capacity.py --write` from the files in `docs/measured/`; do not edit it by hand. A ctest",
        "runs `--check`, which fails when page and files disagree.",
        "",
        f"Design size: {DESIGN_NODES:,} nodes in {DESIGN_DATA_CENTRES} data centres. Where a figure was measured at that size it",
        "is given as measured, else it is the least-squares line at that size. Where the line explains less than",
        f"{100 * MIN_R2:.0f}% of the variance (R² < {MIN_R2}), the largest measured value is given.",
        "",
        "Files that do not exist: " + (", ".join(missing) if missing else "none") + ".",
        "",
        f"## Control plane of each role at {DESIGN_NODES:,} nodes",
        "",
        "CPU includes the simulator's own work and excludes system calls and the MAC. Memory of documents is measured with",
        "both documents at 1 MB and all previous texts and frames held. Bridges and readers are charged with the bytes of",
        "the node that sent and received most on a change.",
        "",
        *table(["role", "figure", "sum", "budget", "share", "mechanism with the largest part"], roles),
        "The figures are those of `snipeweird`. The relay on the platform links neither gossip nor distribution; its cost",
        "and what breaks first there are in `docs/measurements-platform.md`.",
        "",
        "## Real processes",
        "",
        "Control threads of real nodes on one machine, with system calls and MAC; probing is at 63 calls/s for each node.",
        "Memory is that of the whole process, data path included. Sizes past these were measured as state machines only.",
        "",
        *table(["kind", "nodes", *METRICS.values()], real_rows(files)),
        "## Data path",
        "",
        f"At {CALLS_PER_S_AND_NODE} calls/s for each node.",
        "",
        *table(["role", "figure", "value", "R²"], data_path_rows(files)),
        "## Platform",
        "",
        f"Calls at the configuration service; budget about {PLATFORM_CALLS_PER_S:,} calls/s. Slope and R² belong to the peak",
        "(to the mean where no peak was measured). The rates of readers and of nodes that read for themselves are limited by",
        "settings for the whole fleet, so peaks level off and the lines of some phases have no trend.",
        "",
        *table(["design", "phase", "calls/s", "peak calls/s", "waiting", "recovery s", "slope per node", "R²",
                "size at the budget"], platform),
        "## Time until a change is in force",
        "",
        f"Bound: {IN_FORCE_MS:,} ms everywhere.",
        "",
        *table(["design", "nodes", "p50 ms", "p99 ms", "worst ms", "bytes per node", "messages per node"],
               change_rows(files["distribution"])),
        "## Lines",
        "",
        *table(["file", "role", "figure", "slope per node", "at zero", "R²", "points", "used beyond the measured sizes"], fits),
        "## What breaks first",
        "",
    ]
    for size, what in sorted(limits + platform_limits)[:5]:
        text.append(f"- {what}: the line reaches its budget at {format_number(size)} nodes.")
    if not limits and not platform_limits:
        text.append("- No measured line rises to its budget, or nothing was measured.")
    if budget_shares:
        share, role, title = max(budget_shares)
        text.append(f"- Largest share of a budget at {DESIGN_NODES:,} nodes: {title}, role {role}, {100 * share:.1f}%.")
    limit = reader_limit(files)
    if limit is not None:
        text.append(f"- At any number of nodes: the platform answers with full texts, so {CHANGES_PER_DAY:,} changes a day of")
        text.append(f"  one document use up a reader's 9 KB/s at a text of {format_number(limit)} bytes. A text of 1 MB costs a reader")
        text.append(f"  {format_number(1e6 * CHANGES_PER_DAY / 86400)} bytes/s. This is the first limit that the design meets.")
    if missing:
        text.append(f"- Open until measured: {', '.join(missing)}.")
    return "\n".join(text) + "\n"


def main():
    if sys.argv[1:] not in (["--write"], ["--check"]):
        sys.exit(__doc__)
    files = {name: load(name + ".json") for name in ("distribution", "membership", "data-path", "real-nodes")}
    text = render_page(files)
    if sys.argv[1] == "--write":
        PAGE.write_text(text)
        print(f"Wrote {PAGE.relative_to(ROOT)}.")
    elif not PAGE.exists() or PAGE.read_text() != text:
        sys.exit(f"{PAGE.relative_to(ROOT)} disagrees with docs/measured/; run scripts/capacity.py --write.")


if __name__ == "__main__":
    main()
