"""Compares the log events and metrics in the relay's sources with the lists in docs/OPERATIONS.md.

Usage: telemetry-list.py [--print]    0: they agree, 1: they don't, with each difference on a line"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = [*sorted((ROOT / "snipeweir/relay").glob("*.cpp")), *sorted((ROOT / "snipeweir/telemetry").glob("*.cpp")),
           ROOT / "programs/snipeweir-platform/Main.cpp"]
PAGE = ROOT / "docs/OPERATIONS.md"


def statement(text, start):
    """Returns the text from start to the end of the statement."""
    return text[start:text.index(";", start)]


def events_of_code():
    """Returns the field names by event; log lines are written by belief() and request()."""
    events = {}
    for path in SOURCES:
        text = path.read_text()
        for call in re.finditer(r"\b(?:log|m_log)\.(belief|request)\(", text):
            body = statement(text, call.end())
            head, _, fields = body.partition("{ {")
            for event in re.findall(r'"([a-z_]+)"', head):
                events.setdefault(event, set()).update(re.findall(r'\{ "([a-z_]+)",', "{ {" + fields))
        for event in re.findall(r'\\"event\\":\\"([a-z_]+)\\"', text):
            events.setdefault(event, set()).update(re.findall(r'\\"(count)\\":', text))
    return events


def metrics_of_code():
    names = set()
    for path in SOURCES:
        text = path.read_text()
        names.update("snipeweir_" + name for name in re.findall(r'\badd\("([a-z_]+)"', text))
        names.update(re.findall(r'"(snipeweir_[a-z_]+)', text))
    return {name for name in names if not name.endswith("_")}


def lists_of_page():
    """Returns the events with their fields and the metrics: table rows whose first cell holds names in backquotes."""
    events, metrics = {}, set()
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not line.startswith("| `") or len(cells) != 3:
            continue
        for name in re.findall(r"`([a-z_]+)`", cells[0]):
            if name.startswith("snipeweir_"):
                metrics.add(name)
            else:
                events[name] = set(re.findall(r"`([a-z_]+)`", cells[2]))
    return events, metrics


def main():
    code, metrics = events_of_code(), metrics_of_code()
    if "--print" in sys.argv:
        for event in sorted(code):
            print(event, ", ".join(sorted(code[event])))
        print(*sorted(metrics), sep="\n")
        return 0
    page, page_metrics = lists_of_page()
    faults = [f"event {event}: code has {sorted(code.get(event, ['none']))}, page has {sorted(page.get(event, ['none']))}"
              for event in sorted(code.keys() | page.keys()) if code.get(event) != page.get(event)]
    faults += [f"metric {name} stands only in the {'code' if name in metrics else 'page'}"
               for name in sorted(metrics ^ page_metrics)]
    print(*faults, sep="\n")
    print(f"{len(code)} events, {len(metrics)} metrics, {len(faults)} differences")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
