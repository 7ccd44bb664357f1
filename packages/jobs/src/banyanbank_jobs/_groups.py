"""Decides which groups of a step its trainer is expected to wait for."""

import collections.abc

from banyanbank_jobs import _records


def spare_groups(
    job: _records.Job,
    listed: collections.abc.Container[str],
    returned: collections.abc.Container[str],
) -> frozenset[str]:
    """Returns the groups that the trainer is expected to go on without.

    These are the groups with the longest expected output, as many as there are
    beyond the wanted number. A group that has come back from an earlier job is
    waited for in any case, and one that has begun is nearer to its end.

    Args:
        job: The job; one without a wanted number has no spare groups.
        listed: Items that have a result.
        returned: Groups that earlier jobs left unfinished.
    """
    if not job.wanted_groups:
        return frozenset()
    lengths: dict[str, tuple[bool, int, int]] = {}
    for spec in job.items:
        begun, longest, total = lengths.get(spec.group, (False, 0, 0))
        hint = spec.length_hint or _records.TOKENS_WITHOUT_HINT
        lengths[spec.group] = (
            begun or spec.item in listed,
            max(longest, hint),
            total + hint,
        )
    count = max(0, len(lengths) - job.wanted_groups)
    fresh = [
        group
        for group, (begun, _, _) in lengths.items()
        if not begun and group not in returned
    ]
    fresh.sort(key=lambda group: lengths[group], reverse=True)
    return frozenset(fresh[:count])
