"""Compares the log events and metrics in the relay's sources with the lists in docs/OPERATIONS.md.

Usage: telemetry-list.py [--print]    0: they agree, 1: they don't, with each difference on a line"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCES = [*sorted((ROOT / "snipeweir/relay").glob("*.cpp")), *sorted((ROOT / "snipeweir/telemetry").glob("*.cpp")),
           *sorted((ROOT / "snipeweir/organisations").glob("*.cpp")),
           ROOT / "programs/snipeweir-platform/Main.cpp"]
PAGE = ROOT / "docs/OPERATIONS.md"


def statement_from(text, start):
    """Returns the text from start to the next semicolon."""
    return text[start:text.index(";", start)]


def find_events_in_code():
    """Returns the field names of each log event.

    Log lines are written by JsonLog::logStateChange() and JsonLog::logRequest()."""
    events = {}
    for path in SOURCES:
        text = path.read_text()
        for log_call in re.finditer(r"\b(?:log|m_log)\.(logStateChange|logRequest)\(", text):
            body = statement_from(text, log_call.end())
            head, _, fields = body.partition("{ {")
            for event in re.findall(r'"([a-z_]+)"', head):
                events.setdefault(event, set()).update(re.findall(r'\{ "([a-z_]+)",', "{ {" + fields))
        for event in re.findall(r'\\"event\\":\\"([a-z_]+)\\"', text):
            events.setdefault(event, set()).update(re.findall(r'\\"(count)\\":', text))
    return events


def find_metrics_in_code():
    """Returns the names of all metrics, without those that are only a prefix (names that end in "_")."""
    names = set()
    for path in SOURCES:
        text = path.read_text()
        names.update("snipeweir_" + name for name in re.findall(r'\badd\("([a-z_]+)"', text))
        names.update(re.findall(r'"(snipeweir_[a-z_]+)', text))
    return {name for name in names if not name.endswith("_")}


def parse_documented_lists():
    """Returns the documented events with their fields, and the metrics.

    They are in the table rows whose first cell holds names in backquotes.
    """
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
    code_events, code_metrics = find_events_in_code(), find_metrics_in_code()
    if "--print" in sys.argv:
        for event in sorted(code_events):
            print(event, ", ".join(sorted(code_events[event])))
        print(*sorted(code_metrics), sep="\n")
        return 0
    page_events, page_metrics = parse_documented_lists()
    differences = [f"event {event}: code has {sorted(code_events.get(event, ['none']))}, "
                   f"page has {sorted(page_events.get(event, ['none']))}"
                   for event in sorted(code_events.keys() | page_events.keys())
                   if code_events.get(event) != page_events.get(event)]
    differences += [f"metric {name} stands only in the {'code' if name in code_metrics else 'page'}"
                    for name in sorted(code_metrics ^ page_metrics)]
    print(*differences, sep="\n")
    print(f"{len(code_events)} events, {len(code_metrics)} metrics, {len(differences)} differences")
    return 1 if differences else 0


if __name__ == "__main__":
    sys.exit(main())
