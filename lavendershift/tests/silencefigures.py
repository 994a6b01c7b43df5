"""Figures of fleets whose servers fall silent, as a Markdown table.

Means of several runs in virtual time, by the size of the fleet and the number of silent
servers::

    python -m lavendershift.tests.silencefigures --seeds 5
"""

import argparse
import statistics

from lavendershift.tests.silenceservers import NEVER
from lavendershift.tests.silencesimulation import (
    SHARES,
    SIZES,
    SilenceFleet,
    count_per_second,
    find_worst_window,
)

SILENT_AT, SILENT_S = 4.0, 1.5
RUN_S = 12.0
TITLES = [
    "VMs (active), servers, requests/s",
    "silent servers",
    "silence",
    "requests to each in each second of the silence and after it",
    "before it",
    "attempts beside per silent second",
    "retry tokens",
    "repeats in the worst 10 s, of those allowed",
    "requests without a response, of those in the silence",
    "99 % of these within",
]


class Figures:
    """Figures of one run."""

    def __init__(self, seed, vms, share, for_s):
        fleet = SilenceFleet(seed, SIZES[vms])
        silent = fleet.servers[: SHARES[share](len(fleet.servers))]
        fleet.run(RUN_S, [(SILENT_AT, each.fall_silent, for_s) for each in silent])
        self.silent = len(silent)
        self.length_s = min(for_s, RUN_S - SILENT_AT)
        self.seconds = [
            statistics.mean(counts)
            for counts in zip(
                *(count_per_second(each, SILENT_AT) for each in silent), strict=True
            )
        ]
        earlier = [sum(count_per_second(each, 0.0, 4)) for each in silent]
        self.before = statistics.mean(earlier) / SILENT_AT
        self.besides = fleet.reports.besides / self.length_s
        self.retries = sum(fleet.reports.retries.values())
        self.repeats, self.bound = find_worst_window(fleet)
        end = SILENT_AT + self.length_s
        met = [
            call
            for call in fleet.calls.values()
            if call.started < end and call.ended_at > SILENT_AT
        ]
        self.met = len(met)
        self.lost = sum(not call.is_whole for call in met)
        waits = sorted(call.ended_at - call.started for call in met)
        self.wait = waits[int(len(waits) * 0.99)]


def format_row(vms, share, for_s, seeds):
    """Return a row of the table."""
    runs = [Figures(seed, vms, share, for_s) for seed in range(1, seeds + 1)]
    size = SIZES[vms]

    def average(name):
        return statistics.mean(getattr(run, name) for run in runs)

    seconds = zip(*(run.seconds for run in runs), strict=True)
    worst = max(runs, key=lambda run: run.repeats / run.bound)
    cells = [
        f"{vms} ({size.active}), {size.servers}, {size.demand:.0f}",
        f"{runs[0].silent}",
        "for good" if for_s == NEVER else f"{for_s:g} s",
        " ".join(f"{statistics.mean(second):.1f}" for second in seconds),
        f"{average('before'):.1f}",
        f"{average('besides'):.1f}",
        f"{average('retries'):.0f}",
        f"{worst.repeats} of {worst.bound:.0f}",
        f"{average('lost'):.1f} of {average('met'):.0f}",
        f"{average('wait'):.1f} s",
    ]
    return "| " + " | ".join(cells) + " |"


def main():
    parser = argparse.ArgumentParser(description="Play fleets with silent servers.")
    parser.add_argument("--vms", type=int, nargs="*", default=list(SIZES))
    parser.add_argument("--seeds", type=int, default=3, help="runs of each row")
    options = parser.parse_args()
    print("| " + " | ".join(TITLES) + " |")
    print("|" + "---|" * len(TITLES))
    for vms in options.vms:
        for share, for_s in [*((s, SILENT_S) for s in SHARES), ("one", NEVER)]:
            print(format_row(vms, share, for_s, options.seeds), flush=True)


if __name__ == "__main__":
    main()
