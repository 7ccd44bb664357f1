"""Reads which failures are known, so that a run passes over just these."""

import collections.abc


def read(text: str) -> frozenset[str]:
    """Returns the ids of the tests that `KNOWN-RED.txt` lists."""
    return frozenset(
        line.partition("|")[0].strip()
        for line in text.splitlines()
        if line.strip() and not line.startswith("#")
    )


def split(
    failed: collections.abc.Iterable[str],
    known: collections.abc.Container[str],
) -> tuple[list[str], list[str]]:
    """Parts failed tests into those that count and those that are known.

    Args:
        failed: Ids of tests; those of subtests have words behind the id.
        known: Ids of tests whose failure is known.
    """
    counting: list[str] = []
    passed_over: list[str] = []
    for name in failed:
        is_known = name.partition(" ")[0] in known
        (passed_over if is_known else counting).append(name)
    return counting, passed_over
