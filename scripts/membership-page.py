#!/usr/bin/env python3
"""Fills the derived parts of docs/membership.md from charts/member.json and docs/measured/membership.json.

Usage: scripts/membership-page.py --write | --check
  --write  rewrites the parts between the markers
  --check  exits with 1 if the page differs from what the files give
"""

import json
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "membership.md"


def render_chart():
    """Returns the state chart of a member as a Mermaid diagram."""
    value = json.loads((ROOT / "charts" / "member.json").read_text())
    lines = ["```mermaid", "stateDiagram-v2", f"    [*] --> {value['initial']}"]
    for state, body in value["states"].items():
        targets = {}
        for event, target in body.get("on", {}).items():
            targets.setdefault(target, []).append(event)
        lines += [f"    {state} --> {target}: {', '.join(events)}" for target, events in targets.items()]
    return "\n".join(lines + ["```"])


def table(header, rows):
    return "\n".join(["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
                     + ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows])


def total(traffic, unit):
    """Returns inbound plus outbound traffic per second; unit is "bytes" or "messages"."""
    return traffic[f"{unit}_in_per_s"] + traffic[f"{unit}_out_per_s"]


def format_percentiles(spread):
    """Formats a distribution as median / 99th percentile / worst."""
    return f"{spread['p50']:.1f} / {spread['p99']:.1f} / {spread['worst']:.1f}"


def render_measurements():
    """Returns the section with the tables of measured values."""
    lines = (ROOT / "docs" / "measured" / "membership.json").read_text().splitlines()
    sizes = [value for value in map(json.loads, lines) if "role" not in value]
    cost_rows, propagation_rows, loss_rows, gossip_rows = [], [], [], []
    for size in sizes:
        nodes = f"{size['nodes']:,}"
        cost_rows.append([nodes, size["data_centres"], f"{total(size['ordinary'], 'bytes'):.0f}",
                          f"{total(size['bridge'], 'bytes'):.0f}", f"{total(size['ordinary'], 'messages'):.1f}",
                          f"{total(size['bridge'], 'messages'):.1f}", f"{size['cpu_percent_of_a_core']:.4f}",
                          f"{size['memory_bytes_per_node'] / 1e6:.2f}",
                          f"{size['full_state_gossip']['bytes_in_and_out_per_s']:,.0f}",
                          f"{size['full_state_gossip']['cpu_percent_of_a_core']:.4f}"])
        propagation_rows.append([
            nodes, format_percentiles(size["crash"]["own_data_centre_s"]),
            format_percentiles(size["crash"]["everywhere_s"]), format_percentiles(size["leave"]["everywhere_s"]),
            size["crash"]["observers_not_told_in_time"] + size["leave"]["observers_not_told_in_time"]])
        loss = size["loss_5_percent"]
        loss_rows.append([nodes, loss["seconds"], f"{loss['suspicions_per_node_hour']:.1f}", loss["false_deaths"],
                          loss["most_observers_of_a_false_death"], f"{total(loss['ordinary'], 'bytes'):.0f}",
                          f"{total(loss['bridge'], 'bytes'):.0f}", size["paused_observers"]["paused_nodes"],
                          size["paused_observers"]["false_deaths_of_nodes_not_paused"]])
        gossip_loss = size["full_state_gossip"].get("loss_5_percent")
        if gossip_loss:
            gossip_rows.append([nodes, format_percentiles(gossip_loss["detection_s"]),
                                gossip_loss["false_deaths_by_all_observers"]])
    return "\n\n".join([
        "## Measured",
        "`scripts/measure-membership.sh` (seed 20261204): state machines in one process in virtual time, sealed datagrams,\n"
        "24 bytes of attachment on each ping and answer. Bytes count 28 bytes of IP and UDP header and are inbound and\n"
        "outbound together. CPU includes the simulated network and is the mean over all nodes. Memory holds the table of\n"
        "the whole fleet. Times are in seconds: median, 99th percentile, worst.",
        table(["nodes", "data centres", "bytes/s node", "bytes/s bridge", "messages/s node", "messages/s bridge",
               "CPU % of a core", "MB", "full-state gossip bytes/s", "its CPU %"], cost_rows),
        table(["nodes", "crash known in its data centre", "crash known everywhere", "leave known everywhere",
               "observers not told within 15 s (crash) or 5 s (leave)"], propagation_rows),
        "At 5% loss, then with observers that were paused for 10 s (false deaths of nodes that ran all the time):",
        table(["nodes", "seconds", "suspicions started per node and hour", "false deaths", "most observers of one",
               "bytes/s node", "bytes/s bridge", "paused observers", "false deaths after the pause"], loss_rows),
        "Full-state gossip at 5% loss, a member being dead after 12 silent rounds (not run above 500 nodes, because its\n"
        "work grows with the cube of the size):",
        table(["nodes", "crash known", "false deaths held, over all observers in 75 s"], gossip_rows),
    ])


def main():
    page = PAGE.read_text()
    for name, text in (("chart", render_chart()), ("measured", render_measurements())):
        page = re.sub(rf"<!-- {name} -->\n.*?<!-- end of {name} -->",
                      lambda _: f"<!-- {name} -->\n{text}\n<!-- end of {name} -->", page, flags=re.S)
    if sys.argv[1:] == ["--write"]:
        PAGE.write_text(page)
    elif sys.argv[1:] == ["--check"]:
        if PAGE.read_text() != page:
            sys.exit("docs/membership.md differs from charts/member.json or docs/measured/membership.json.")
    else:
        sys.exit(__doc__)


main()
