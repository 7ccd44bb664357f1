"""What a stand-in is told to do wrong."""

import attrs


@attrs.define
class Faults:
    """Switches of one stand-in; all off at the start."""

    lag_s: float = 0.0
    """Seconds added before each answer."""
    drop_after_bytes: int | None = None
    """Closes the connection after this many body bytes; None for never."""
    omit_end_mark: bool = False
    """Ends answers in peace, but before their end."""
    report_lag_s: float = 0.0
    """Seconds by which reports of cache and load come late."""
    drop_reports_every: int = 0
    """Loses each report whose number it divides; 0 for none."""
    drop_before_answer: bool = False
    """Runs the request, then closes the connection without an answer."""
    refuse: bool = False
    """Answers 503 without running anything."""
    cross_answers: bool = False
    """Answers with the id and text of the request before."""
    ignore_fencing: bool = False
    """Takes orders whose fencing token is older than one seen before."""
    fail_swaps: int = 0
    """How many of the next weight swaps fail."""
    mixed_swaps: int = 0
    """How many of the next swaps fail and leave no whole version."""
    half_swaps: int = 0
    """How many of the next swaps answer with success but change nothing."""
