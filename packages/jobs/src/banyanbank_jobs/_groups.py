"""Predicts which groups of a step its trainer will not wait for."""

import collections.abc

from banyanbank_jobs import _records


def spare_groups(
    job: _records.Job,
    listed: collections.abc.Container[str],
    unfinished: collections.abc.Container[str],
) -> frozenset[str]:
    """Returns the groups that the trainer is expected to finish without.

    The groups beyond the wanted number are spare, those with the longest
    expected output first. Groups resubmitted after an earlier job are never
    spare, since the trainer waits for them; neither are groups with a result,
    since they are closer to completion.

    Args:
        job: The job; without a wanted number it has no spare groups.
        listed: Items that have a result.
        unfinished: Groups that earlier jobs left unfinished.
    """
    if not job.wanted_groups:
        return frozenset()
    lengths: dict[str, tuple[bool, int, int]] = {}
    for spec in job.items:
        begun, longest, total = lengths.get(spec.group, (False, 0, 0))
        hint = spec.length_hint or _records.DEFAULT_OUTPUT_TOKENS
        lengths[spec.group] = (
            begun or spec.item in listed,
            max(longest, hint),
            total + hint,
        )
    count = max(0, len(lengths) - job.wanted_groups)
    candidates = [
        group
        for group, (begun, _, _) in lengths.items()
        if not begun and group not in unfinished
    ]
    candidates.sort(key=lambda group: lengths[group], reverse=True)
    return frozenset(candidates[:count])
