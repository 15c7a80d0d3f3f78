#!/usr/bin/env python3
"""Lists the journal entries of runs that did not finish; run it before a page or commit claims their figures.

    scripts/unfinished.py [--since REVISION]

With a revision, only entries that came after it. Exits with 1 when there are any.
"""
import argparse
import json
import pathlib
import subprocess
import sys

JOURNAL = pathlib.Path(__file__).resolve().parent.parent / "journal"
UNFINISHED = "did not finish"


def entries(since):
    """The entries' files; with a revision, those that it does not have."""
    if since is None:
        return sorted(JOURNAL.glob("*.json"))
    command = ["git", "-C", str(JOURNAL), "ls-tree", "--name-only", since, "."]
    listed = subprocess.run(command, check=True, capture_output=True, text=True)
    known = {pathlib.Path(name).name for name in listed.stdout.split()}
    return sorted(file for file in JOURNAL.glob("*.json") if file.name not in known)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--since", metavar="REVISION", help="only entries that came after it")
    found = 0
    for file in entries(parser.parse_args().since):
        entry = json.loads(file.read_text())
        if UNFINISHED in (entry.get("error") or ""):
            found += 1
            words = [word for word in entry["argv"] if word.endswith(".toml")]
            site = pathlib.Path(words[0]).stem if words else "-"
            print(f"{entry['id']}  {entry['cmd']:9} {site:28} {entry['why'] or ''}")
    print(f"{found} did not finish")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
