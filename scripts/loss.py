#!/usr/bin/env python3
"""Tells where a day's worth went, from the log lines of its hosts and the report of its run.

    fleetbench run SITE DAY --log all --report day.json > day.txt;  scripts/loss.py day.txt --report day.json

Each request is counted once, by its last log line: in time, late (first event or pause), refused, failed. What each
outcome loses adds up to the explained loss; the report's own loss of the whole day less that is named as unexplained.
"""
import argparse
import collections
import json
import re
import statistics
import sys

LINE = re.compile(r"\s*(-?[\d.]+) (?:edge-)?(\S+)-\d+ \d+ E(\d+) (.*)")
FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Refusals that owe nothing: no configuration allows the request, or none could be confirmed.
NOT_OWED = ("RS110", "RS111", "RS504", "RS501")
# What a late answer keeps of its worth where the report does not say; the sheets say 0.48 to 0.54 for streams, 0.3 else.
KEPT = {"stream": 0.5, "plain": 0.3}


def arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log")
    parser.add_argument("--report", help="the run's report")
    parser.add_argument("--window", type=float, default=2.0, help="seconds of a row")
    parser.add_argument("--by", default="centre", choices=("centre", "kind", "none"), help="what a row is split by")
    return parser.parse_args()


def lines(path):
    """Time, data centre, event and fields of each line; torn and foreign ones are counted."""
    skipped = 0
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            found = LINE.match(text)
            if found is None:
                skipped += 1
                continue
            yield float(found[1]), found[2], int(found[3]), dict(FIELD.findall(found[4]))
    if skipped:
        print(f"{skipped} lines passed over: not written by a host", file=sys.stderr)


def outcome(fields):
    """What became of a request, and why."""
    code = int(fields["code"])
    if code == 0:
        return "left", "its caller left"
    if fields["verdict"] != "answered" or code >= 400:
        why = "refused" if fields["verdict"] == "not_run" else "failed"
        return why, f"{code} {fields['why'].strip(chr(34))[:44]}"
    first, aim = int(fields["first_ms"]), int(fields.get("aim_ms", 0))
    pause, most = int(fields["pause_ms"]), int(fields.get("pause_aim_ms", 0))
    if aim and first > aim:
        return "late", "first event" if fields.get("kind") == "stream" else "answer"
    if most and pause > most:
        return "late", "pause"
    return "in time", ""


class Row:
    """What ended in a window."""

    def __init__(self):
        self.outcomes = collections.Counter()
        self.first = []
        self.ratio = []

    def cells(self):
        counts = " ".join(f"{self.outcomes[name]:7}" for name in ("in time", "late", "refused", "failed", "left"))
        first = f"{statistics.median(self.first):8.0f}" if self.first else f"{'-':>8}"
        ratio = f"{statistics.median(self.ratio):8.1f}" if self.ratio else f"{'-':>8}"
        return f"{counts} {first} {ratio}"


def read(options):
    rows, reasons = collections.defaultdict(Row), collections.Counter()
    lost, predicted, sends = 0.0, {}, collections.Counter()
    total = 0
    for when, centre, event, fields in lines(options.log):
        if event == 301:
            predicted[fields["request"]] = float(fields["first_ms"])
        elif event == 206:
            sends[f"{fields['fault']} {fields.get('status', '')}"] += 1
        elif event == 202 and "request" in fields:
            reasons[("refused", f"{fields['code']} {fields['why'].strip(chr(34))[:44]}")] += 1
            if fields["code"] not in NOT_OWED:
                rows[when // options.window, centre if options.by == "centre" else "-"].outcomes["refused"] += 1
                lost, total = lost + 1.0, total + 1
        elif event == 201:
            name, why = outcome(fields)
            kind = "stream" if fields.get("kind") == "stream" else "plain"
            split = {"centre": centre, "kind": fields.get("kind", "-"), "none": "-"}[options.by]
            row = rows[when // options.window, split]
            row.outcomes[name] += 1
            reasons[(name, why)] += 1
            if name != "left":
                total += 1
                lost += {"in time": 0.0, "late": 1.0 - KEPT[kind]}.get(name, 1.0)
            first, guess = int(fields["first_ms"]), predicted.pop(fields["request"], 0.0)
            if kind == "stream" and first >= 0:
                row.first.append(first)
                if guess > 0:
                    row.ratio.append(first / guess)
    return rows, reasons, sends, lost / max(total, 1), total


def main():
    options = arguments()
    rows, reasons, sends, lost, total = read(options)
    print("seconds  where            in time    late refused  failed    left  first ms  of told")
    for (window, split), row in sorted(rows.items()):
        print(f"{window * options.window:7.0f}  {split:15} {row.cells()}")
    print(f"\n{total} requests; explained loss {lost:.3f} of their worth, each counted alike:")
    for (name, why), count in reasons.most_common(16):
        if name != "in time":
            print(f"{count:7}  {name}: {why}")
    print("sends that failed: " + ", ".join(f"{name} {count}" for name, count in sends.most_common()))
    if options.report:
        told = json.load(open(options.report, encoding="utf-8"))
        whole = {name: value for name, _, value in told["parts"]}
        print("report: " + ", ".join(f"{name} {value:.3f}" for name, value in whole.items()))
        print(f"unexplained of the whole day: {1.0 - whole['whole day'] - lost:+.3f}")
        for table in ("classes", "zones"):
            for part in told[table]:
                counts = " ".join(f"{name} {part[name]}" for name in ("in_aim", "late", "refused", "failed", "not_owed"))
                print(f"{part['name']:18} {counts} worth {part['worth']:.3f}")
        print("prices: " + ", ".join(f"{name} {price:.3f}" for name, _, price in told["prices"] if price >= 0.0005))


if __name__ == "__main__":
    main()
