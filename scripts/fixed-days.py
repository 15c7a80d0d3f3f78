#!/usr/bin/env python3
"""Plays the same days of a deployment on several seeds and prints what callers got.

    FLEETBENCH=PROGRAM scripts/fixed-days.py SITE [--seeds N] [--jobs N] [--why TEXT] [--save FILE] [--against FILE]

Every round of a change to a policy is judged on these days: the site's days with trouble, each on its
own seed and on N - 1 others, without processor time, so that a run mostly repeats. `--save` keeps the
figures, `--against` compares with kept ones. A day that breaks a rule is named.
"""
import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")
PRICES = {"again": "worth refused again", "late": "worth given up late, untried", "opened": "new connections to servers"}
COLUMNS = ("worth", "served", "refused", "failed", "nines", "again", "late", "opened")


def arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    parser.add_argument("--why", default="")
    parser.add_argument("--days", default=",".join(DAYS))
    parser.add_argument("--save")
    parser.add_argument("--against")
    parser.add_argument("--logs", help="a folder for each run's log lines")
    return parser.parse_args()


def play(options, day, seed):
    """One day on one seed; its own seed where `seed` is 0."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [os.environ["FLEETBENCH"], "run", options.site, day, "--no-cpu", "--report", report.name]
        command += ["--seed", str(seed)] if seed else []
        command += ["--why", options.why] if options.why else []
        command += ["--log", "all"] if options.logs else []
        done = subprocess.run(command, capture_output=True, text=True, check=False)
        if options.logs:
            with open(os.path.join(options.logs, f"{day}-{seed}.txt"), "w", encoding="utf-8") as file:
                file.write(done.stdout)
        try:
            told = json.load(open(report.name, encoding="utf-8"))
        except ValueError:
            sys.exit(f"{day} seed {seed} gave no report:\n{done.stdout[-2000:]}{done.stderr[-2000:]}")
    prices = {name: price for name, _, price in told["prices"]}
    figures = {name: prices.get(price, 0.0) for name, price in PRICES.items()}
    parts = {name: value for name, _, value in told["parts"]}
    figures |= {"worth": told["G"], "nines": parts.get("nines", 0.0)}
    figures |= {name: told[name] for name in ("served", "refused", "failed")}
    figures["breaks"] = told["breaks"]
    return figures


def row(name, runs):
    cells = [f"{statistics.mean(r[c] for r in runs):8.3f}" for c in COLUMNS]
    worths = [r["worth"] for r in runs]
    spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
    return f"{name:12}" + "".join(cells) + f"{spread:8.3f}"


def main():
    options = arguments()
    if "FLEETBENCH" not in os.environ:
        sys.exit("FLEETBENCH is not set: the path of the bench's program")
    days = options.days.split(",")
    tasks = [(day, seed) for day in days for seed in range(options.seeds)]
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda task: play(options, *task), tasks))
    runs = {f"{day}/{seed}": result for (day, seed), result in zip(tasks, results)}
    before = json.load(open(options.against, encoding="utf-8")) if options.against else {}
    print(f"{'day':12}" + "".join(f"{c:>8}" for c in COLUMNS) + f"{'spread':>8}")
    for day in days:
        print(row(day, [r for name, r in runs.items() if name.startswith(day + "/")]))
    print(row("mean", list(runs.values())))
    common = [name for name in runs if name in before]
    if common:
        gains = [runs[name]["worth"] - before[name]["worth"] for name in common]
        error = statistics.stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else 0.0
        print(f"against {options.against}: {statistics.mean(gains):+.3f} worth a run, standard error {error:.3f}, {len(gains)} runs")
    for name, result in runs.items():
        if result["breaks"]:
            print(f"RULE BROKEN on {name}: {result['breaks']}")
    if options.save:
        json.dump(runs, open(options.save, "w", encoding="utf-8"), indent=1)


if __name__ == "__main__":
    main()
