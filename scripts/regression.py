"""Plays quick scores and hunts of the regression deployments and prints one table: the share of requests served, the
rules broken, and the difference to the last committed run of the same kind.

Usage: regression.py --bench PROGRAM --sites FOLDER [--jobs N] [--only NAME ...] [--scores | --hunts] [--why TEXT]
       regression.py --journal ENTRY ...    prints the table of runs that were already played

Exits with 0 if no rule was broken, 1 if one was, 2 if a run could not be played."""

import argparse
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
# Site files below the folder of sites, and the days that a hunt plays: fewer where a fleet has 60 machines or more.
SITES = {"large/restauro-sur-large": 8, "further/harrowden-hq": 40, "further-grown/harrowden-hq-grown": 8,
         "grown/restauro-sur-grown": 40, "grown/stakabadhi-mesh-grown": 8}


def read_entry(path):
    return json.loads(pathlib.Path(path).read_text())


def mean_served(days):
    return sum(day["served"] for day in days) / len(days) if days else 0.0


def broken_days(entry):
    """Returns a text for each day on which a rule was broken, a process failed, or the gate did not pass."""
    texts = []
    for day in entry["days"]:
        causes = [f"{rule} {count}" for rule, count in sorted(day["rules"].items())]
        if day["fault"]:
            causes.append(str(day["fault"]))
        if not causes and entry["cmd"] == "score" and not day["gate"]:
            causes.append("gate failed")
        if causes:
            texts.append(f"{day['name']}: {', '.join(causes)}")
    return texts


def is_comparable(entry, other):
    """Returns whether two runs are of the same kind at the same site, so that their served shares can be compared."""
    return all(entry.get(name) == other.get(name) for name in ("cmd", "site", "mode")) and other["ok"] is not False


def difference(entry, earlier):
    """Returns the difference of the served share to the latest comparable run, over the days that both played if there
    are any; None if there is no such run."""
    for other in sorted(earlier, key=lambda run: run["at"][0], reverse=True):
        if other["id"] == entry["id"] or not is_comparable(entry, other):
            continue
        known = {(day["name"], day["seed"]): day for day in other["days"]}
        pairs = [(day, known[day["name"], day["seed"]]) for day in entry["days"] if (day["name"], day["seed"]) in known]
        days, before = ([p[0] for p in pairs], [p[1] for p in pairs]) if pairs else (entry["days"], other["days"])
        if days and before:
            return mean_served(days) - mean_served(before)
    return None


def make_table(entries, earlier):
    """Returns the lines of the table."""
    lines = ["| site | run | days | served | change | rules broken |", "| --- | --- | --- | --- | --- | --- |"]
    for entry in entries:
        change = difference(entry, earlier)
        broken = broken_days(entry)
        run = f"{entry['cmd']} {entry.get('mode') or ''}".strip()
        lines.append(f"| {entry['site']} | {run} | {len(entry['days'])} | {mean_served(entry['days']):.3f} | "
                     f"{'none' if change is None else f'{change:+.3f}'} | {'; '.join(broken) or 'none'} |")
    return lines


def committed_entries():
    names = subprocess.run(["git", "ls-tree", "--name-only", "HEAD", "journal/"], cwd=ROOT, capture_output=True,
                           text=True, check=True).stdout.split()
    return [read_entry(ROOT / name) for name in names if name.endswith(".json")]


def play(arguments, verb, site, more):
    """Runs the bench and returns the journal entries that it left."""
    before = set(JOURNAL.glob("*.json"))
    command = [arguments.bench, verb, f"{arguments.sites}/{site}.toml", "--jobs", str(arguments.jobs), *more,
               "--why", arguments.why]
    result = subprocess.run(command, cwd=ROOT)
    entries = [read_entry(path) for path in sorted(set(JOURNAL.glob("*.json")) - before)]
    if not entries:
        print(f"{site}: {verb} ended with {result.returncode} and left no journal entry", file=sys.stderr)
        sys.exit(2)
    return entries


def main():
    parser = argparse.ArgumentParser(description="Plays the regression runs.")
    parser.add_argument("--bench", help="program of the users' bench")
    parser.add_argument("--sites", help="folder of the site files")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", nargs="+", help="names of sites, without folder and ending")
    kinds = parser.add_mutually_exclusive_group()
    kinds.add_argument("--scores", action="store_true", help="only quick scores")
    kinds.add_argument("--hunts", action="store_true", help="only hunts")
    parser.add_argument("--why", default="regression runs")
    parser.add_argument("--journal", nargs="+", help="journal entries to print instead of playing")
    arguments = parser.parse_args()
    if not arguments.journal and not (arguments.bench and arguments.sites):
        parser.error("--bench and --sites are needed to play")

    earlier = committed_entries()
    if arguments.journal:
        entries = [read_entry(path) for path in arguments.journal]
    else:
        entries = []
        for site, days in SITES.items():
            if arguments.only and site.rpartition("/")[2] not in arguments.only:
                continue
            if not arguments.hunts:
                entries += play(arguments, "score", site, ["--quick"])
            if not arguments.scores:
                entries += play(arguments, "hunt", site, ["--days", str(days)])
    print("\n".join(make_table(entries, earlier)))
    sys.exit(1 if any(broken_days(entry) for entry in entries) else 0)


if __name__ == "__main__":
    main()
