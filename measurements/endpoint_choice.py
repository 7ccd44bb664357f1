"""Ways to choose among shared plain endpoints, in the model of the tests.

python -m measurements.endpoint_choice
"""

import sys
import time
import unittest.mock

from banyanbank_gateway import _weighted_choice

from tests.gateway import choice_model

SEEDS = range(1, 9)
SECONDS = 60.0
WAYS = (
    ("random", choice_model.choose_random, 0.0),
    ("least own load", choice_model.choose_least_load, 0.0),
    ("least expected time", choice_model.choose_fastest, 0.0),
    ("better of two", choice_model.choose_of_two, 0.0),
    ("weighted, power 1", choice_model.choose_weighted, 1.0),
    ("weighted, power 2", choice_model.choose_weighted, 2.0),
    ("weighted, power 3", choice_model.choose_weighted, 3.0),
)


def _make_endpoints(load: str) -> list[choice_model.Endpoint]:
    speeds = choice_model.EQUAL if load == "equal" else choice_model.UNEQUAL
    endpoints = choice_model.make_endpoints(speeds)
    if load == "fits":
        for one in endpoints[2::3]:
            one.slow_spans = tuple((at, at + 4.0) for at in (10, 25, 40, 52))
    if load == "failing":
        for one in endpoints[1::4]:
            one.failing_span = (10.0, 50.0)
    return endpoints


def main() -> None:
    """Prints a row for each load and way."""
    for load, rate_per_s, burst in (
        ("equal", 6.0, (64, 232)),
        ("unequal", 6.0, (64, 232)),
        ("fits", 6.0, (64, 232)),
        ("failing", 6.0, (64, 232)),
        ("unequal", 1200.0, (0, 0)),
        ("fits", 1200.0, (0, 0)),
        ("failing", 1200.0, (0, 0)),
    ):
        for name, choose, power in WAYS:
            times: list[float] = []
            late, worst, changes = [], [], 0
            began_at = time.process_time()
            with unittest.mock.patch.object(
                _weighted_choice, "TIME_POWER", power
            ):
                # The busy loads have enough requests in one run.
                for seed in SEEDS if rate_per_s < 100 else (1,):
                    endpoints = _make_endpoints(load)
                    result = choice_model.Model(
                        endpoints, choose, seed, 65, rate_per_s, burst
                    ).run(SECONDS)
                    times += result.times
                    late.append(result.late_share)
                    worst.append(
                        choice_model.find_worst_share(result, endpoints)
                    )
                    changes += result.revisions
            times.sort()
            sys.stdout.write(
                f"| {load}, {rate_per_s:.0f}/s | {name} "
                f"| {1000 * sum(times) / len(times):.1f} "
                f"| {1000 * times[int(0.99 * len(times))]:.0f} "
                f"| {100 * sum(late) / len(late):.1f} "
                f"| {sum(worst) / len(worst):.2f} "
                f"| {changes / len(late):.0f} |"
                f" {time.process_time() - began_at:.1f} s\n"
            )
            sys.stdout.flush()


if __name__ == "__main__":
    main()
