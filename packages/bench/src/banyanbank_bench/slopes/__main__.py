"""Prints all figures: `python -m banyanbank_bench.slopes [--json]`."""

import argparse
import json
import sys

from banyanbank_bench.slopes import _control
from banyanbank_bench.slopes import _derived
from banyanbank_bench.slopes import _log
from banyanbank_bench.slopes import _meter
from banyanbank_bench.slopes import _work


def measure() -> list[_meter.Figure]:
    """Returns measured figures and what follows from them."""
    figures = [
        *_control.measure_sync(),
        *_log.measure_all(),
        *_work.measure_dispatch(),
        *_work.measure_rollout(),
    ]
    cost = {figure.name: figure.value for figure in figures}
    return [*figures, *_derived.derive(cost)]


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="JSON only")
    args = parser.parse_args()
    figures = measure()
    if not args.json:
        for figure in figures:
            sys.stdout.write(
                f"{figure.name:58} {figure.value:14,.2f} {figure.unit}\n"
            )
    document = {f"{f.name} [{f.unit}]": round(f.value, 3) for f in figures}
    sys.stdout.write(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
