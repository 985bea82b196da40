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

# Section 1.4 and 1.5 of the design page.
DESIGN_NODES = 3500
DESIGN_DATA_CENTRES = 15
CHANGES_PER_DAY = 2600
IN_FORCE_MS = 3000
PLATFORM_CALLS_PER_S = 2000
CALLS_PER_S_AND_NODE = 63
PROBES_PER_S_AND_NODE = 5  # probe_budget_per_s bounds the node as a whole.
BUDGET = {"bytes_per_s": 9000, "cpu_percent": 2.7, "memory_bytes": 128e6, "messages_per_s": None}

FIGURES = {
    "bytes_per_s": "bytes/s (in and out)",
    "messages_per_s": "messages/s (in and out)",
    "cpu_percent": "CPU (% of a core)",
    "memory_bytes": "memory (bytes)",
}
NOT_MEASURED = "not measured"

# Below this coefficient of determination a line says nothing about other sizes.
MIN_R2 = 0.8


def load(name):
    """Returns the JSON objects of a file, or None if there is no file."""
    path = MEASURED / name
    if not path.exists():
        return None
    lines = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        try:
            value = json.loads(line)
        except ValueError as error:
            sys.exit(f"{path.relative_to(ROOT)}:{number}: no JSON object: {error}")
        if isinstance(value, dict):
            lines.append(value)
    return lines


class Fit:
    """Line y = intercept + slope * x by least squares."""

    def __init__(self, points):
        self.points = sorted(points)
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        joint = sum((x - mean_x) * (y - mean_y) for x, y in self.points)
        self.slope = joint / spread if spread else 0.0
        self.intercept = mean_y - self.slope * mean_x
        total = sum((y - mean_y) ** 2 for _, y in self.points)
        rest = sum((y - self.at(x)) ** 2 for x, y in self.points)
        self.r2 = 1 - rest / total if total else 1.0

    def at(self, x):
        return self.intercept + self.slope * x

    def has_trend(self):
        return len(self.points) >= 3 and self.r2 >= MIN_R2

    def figure(self, x):
        """The measured value at x if there is one; else the line, or the largest value where there is no trend."""
        measured = [value for size, value in self.points if size == x]
        if measured:
            return max(measured)
        if self.has_trend():
            return max(0.0, self.at(x))
        return max(value for _, value in self.points)

    def reaches(self, bound):
        """Size at which the line reaches a bound; None without a rising trend."""
        if not self.has_trend() or self.slope <= 0:
            return None
        return (bound - self.intercept) / self.slope


def fit(lines, figure, x_name="nodes", **wanted):
    """Fits a figure over all lines with the wanted fields; None without lines."""
    points = [
        (line[x_name], line[figure])
        for line in lines or []
        if figure in line and x_name in line and all(line.get(key) == value for key, value in wanted.items())
    ]
    return Fit(points) if points else None


def number(value):
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
    """Membership may be measured within one data centre; such lines say so in the field scope."""
    scoped = any(line.get("scope") == "data_centre" for line in lines or [] if line.get("role") == role)
    return DESIGN_NODES // DESIGN_DATA_CENTRES if scoped else DESIGN_NODES


def per_change(distribution, role, figure):
    """Cost per second of 2,600 changes a day, without the steady cost during the measured window."""
    column = {"bytes_per_s": "bytes_per_node", "messages_per_s": "messages_per_node", "cpu_percent": "cpu_ms_per_node"}
    if figure not in column:
        return None
    change = fit(distribution, column[figure], kind="change", design="readers")
    # Readers and bridges are few: they get the figure of the node with the most bytes.
    if figure == "bytes_per_s" and role != "node":
        change = fit(distribution, "worst_bytes_per_node", kind="change", design="readers") or change
    steady = fit(distribution, figure, kind="steady", role="node") or fit(distribution, figure, kind="steady", role=role)
    window = [line["window_s"] for line in distribution or [] if "window_s" in line]
    if change is None or steady is None or not window:
        return None
    value = change.figure(DESIGN_NODES)
    if figure == "cpu_percent":
        value /= 10.0  # One millisecond in a second is 0.1% of a core.
    return max(0.0, value - steady.figure(DESIGN_NODES) * window[0]) * CHANGES_PER_DAY / 86400


def document_bytes(distribution):
    """Size of the document that was changed in the measurement."""
    sizes = [line["document_bytes"] for line in distribution or [] if line.get("kind") == "change" and "document_bytes" in line]
    return max(sizes) if sizes else None


def reader_limit(files):
    """Text size at which the full texts of all changes use up the rest of a reader's bytes; independent of the fleet."""
    known = [value for name, value in role_parts("reader", "bytes_per_s", files) if value is not None and "full texts" not in name]
    if not known:
        return None
    return (BUDGET["bytes_per_s"] - sum(known)) * 86400 / CHANGES_PER_DAY


def role_parts(role, figure, files):
    """Returns the parts of a role's figure as (mechanism, value or None)."""
    membership_role = "node" if role == "reader" else role
    membership = fit(files["membership"], figure, role=membership_role)
    size = design_size(files["membership"], membership_role)
    parts = [("membership (pings, rumours, digests)", membership.figure(size) if membership else None)]
    steady = fit(files["distribution"], figure, kind="steady", role=role)
    value = steady.figure(DESIGN_NODES) if steady else None
    if figure == "memory_bytes":
        largest = [line["memory_bytes"] for line in files["distribution"] or [] if line.get("kind") == "largest_documents"]
        parts.append(("documents, previous texts and frames", max(largest + [value or 0]) if largest or value else None))
    else:
        parts.append(("document revisions in attachments and exchanges", value))
        parts.append((f"{CHANGES_PER_DAY:,} changes a day", per_change(files["distribution"], role, figure)))
    if role == "reader" and figure == "bytes_per_s":
        size = document_bytes(files["distribution"])
        parts.append((f"full texts of {number(size)} bytes from the platform (computed)",
                      size * CHANGES_PER_DAY / 86400 if size else None))
    if figure == "bytes_per_s":
        parts.append((f"load probes ({PROBES_PER_S_AND_NODE}/s)", probe_bytes(files)))
    if figure == "messages_per_s":
        parts.append((f"load probes ({PROBES_PER_S_AND_NODE}/s)", 4.0 * PROBES_PER_S_AND_NODE))
    return parts


def probe_bytes(files):
    """Bytes per second of the full probe budget, from the measured bytes of one probe at all its ends."""
    probe = [line["bytes_per_probe"] for line in files["real-nodes"] or [] if line.get("bytes_per_probe")]
    return max(probe) * PROBES_PER_S_AND_NODE if probe else None


def real_rows(files):
    rows = []
    for line in files["real-nodes"] or []:
        rows.append([line["kind"], str(line["nodes"]), *(number(line.get(figure)) for figure in FIGURES)])
    return rows


def role_rows(files):
    rows = []
    verdicts = []
    for role in ("node", "reader", "bridge"):
        for figure, title in FIGURES.items():
            parts = role_parts(role, figure, files)
            known = [(name, value) for name, value in parts if value is not None]
            missing = [name for name, value in parts if value is None]
            total = sum(value for _, value in known) if known else None
            budget = BUDGET[figure]
            heaviest = max(known, key=lambda part: part[1])[0] if known else "-"
            text = number(total) + (f" (without: {', '.join(missing)})" if known and missing else "")
            share = f"{100 * total / budget:.1f}%" if budget and total is not None else "-"
            rows.append([role, title, text, number(budget) if budget else "none", share, heaviest])
            if budget and total is not None:
                verdicts.append((total / budget, role, title))
    return rows, verdicts


def data_path_rows(files):
    rows = []
    for role, name in (("sender", "node as sender (calling node)"), ("receiver", "node as receiver (serving node)")):
        for figure, title in FIGURES.items():
            over_calls = fit(files["data-path"], figure, x_name="calls_per_s", role=role)
            over_nodes = fit(files["data-path"], figure, role=role)
            if over_calls:
                text, r2 = number(over_calls.figure(CALLS_PER_S_AND_NODE)), f"{over_calls.r2:.3f}"
            elif over_nodes:
                text, r2 = number(over_nodes.figure(DESIGN_NODES)), f"{over_nodes.r2:.3f}"
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
        wanted = {"kind": "platform", "design": design, "phase": phase}
        mean = fit(distribution, "calls_per_s", **wanted)
        peak = fit(distribution, "peak_calls_per_s", **wanted)
        waiting = fit(distribution, "waiting_calls", **wanted)
        recovery = fit(distribution, "recovery_s", **wanted) if phase in RECOVERING else None
        line = peak or mean
        size = line.reaches(PLATFORM_CALLS_PER_S)
        rows.append([
            design.replace("_", " "), phase.replace("_", " "),
            *[number(value.figure(DESIGN_NODES)) if value else "-" for value in (mean, peak, waiting, recovery)],
            f"{line.slope:.4g}", f"{line.r2:.3f}", number(size) if size else "no linear trend",
        ])
        if size and design == "readers":
            limits.append((size, f"the platform's {PLATFORM_CALLS_PER_S:,} calls/s, phase {phase.replace('_', ' ')}"))
    return rows, limits


RECOVERING = ("fleet_restart", "data_centre_restart", "service_back")


def change_rows(distribution):
    rows = []
    for line in distribution or []:
        if line.get("kind") == "change":
            rows.append([line["design"].replace("_", " "), number(line["nodes"]), number(line["p50_ms"]),
                         number(line["p99_ms"]), number(line["worst_ms"]), number(line.get("bytes_per_node")),
                         number(line.get("messages_per_node"))])
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
            for figure in FIGURES:
                line = fit(files[name], figure, role=role)
                if line is None:
                    continue
                size = line.reaches(BUDGET[figure]) if BUDGET[figure] else None
                if size and role != "full_state_gossip":
                    if design_size(files[name], role) != DESIGN_NODES:
                        size *= DESIGN_DATA_CENTRES
                    limits.append((size, f"{FIGURES[figure]} of {name}, role {role}"))
                rows.append([name, role.replace("_", " "), FIGURES[figure], f"{line.slope:.4g}", f"{line.intercept:.4g}",
                             f"{line.r2:.3f}", str(len(line.points)),
                             "line" if line.has_trend() else "largest measured value (no linear trend)"])
    return rows, limits


def page(files):
    roles, verdicts = role_rows(files)
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
        *table(["kind", "nodes", *FIGURES.values()], real_rows(files)),
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
        text.append(f"- {what}: the line reaches its budget at {number(size)} nodes.")
    if not limits and not platform_limits:
        text.append("- No measured line rises to its budget, or nothing was measured.")
    if verdicts:
        share, role, title = max(verdicts)
        text.append(f"- Largest share of a budget at {DESIGN_NODES:,} nodes: {title}, role {role}, {100 * share:.1f}%.")
    limit = reader_limit(files)
    if limit is not None:
        text.append(f"- At any number of nodes: the platform answers with full texts, so {CHANGES_PER_DAY:,} changes a day of")
        text.append(f"  one document use up a reader's 9 KB/s at a text of {number(limit)} bytes. A text of 1 MB costs a reader")
        text.append(f"  {number(1e6 * CHANGES_PER_DAY / 86400)} bytes/s. This is the first limit that the design meets.")
    if missing:
        text.append(f"- Open until measured: {', '.join(missing)}.")
    return "\n".join(text) + "\n"


def main():
    if sys.argv[1:] not in (["--write"], ["--check"]):
        sys.exit(__doc__)
    files = {name: load(name + ".json") for name in ("distribution", "membership", "data-path", "real-nodes")}
    text = page(files)
    if sys.argv[1] == "--write":
        PAGE.write_text(text)
        print(f"Wrote {PAGE.relative_to(ROOT)}.")
    elif not PAGE.exists() or PAGE.read_text() != text:
        sys.exit(f"{PAGE.relative_to(ROOT)} disagrees with docs/measured/; run scripts/capacity.py --write.")


if __name__ == "__main__":
    main()
