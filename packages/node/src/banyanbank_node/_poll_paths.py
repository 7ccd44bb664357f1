"""Chooses the store through which an entry polls the leader."""

import collections.abc
import random

import attrs
import banyanbank_base as base

DIRECT_AVOIDANCE_S = 5.0
"""Time after a failed direct poll for which other stores relay the polls,
unless the leader is found to be reachable or to be another store."""

FAST_RESPONSE_S = 0.8
"""Time for the response to a poll unless all paths are slow."""

SLOW_RESPONSE_S = 1.6
"""Time for the response once `MAX_FAST_FAILURES` polls in a row have failed,
until one is answered faster than `FAST_RESPONSE_S`. An entry whose every path
is slow would learn nothing otherwise."""

MAX_FAST_FAILURES = 3
"""Failed polls in a row after which paths may be slow rather than silent."""

PROBE_INTERVAL_S = 1.0
"""Interval between questions whether the leader can be reached again."""


@attrs.frozen
class PollPath:
    """Way of one poll to the leader."""

    relay: base.InstanceId | None
    """Store that passes the poll on; None to call the leader itself."""


DIRECT = PollPath(None)
"""Calls the leader itself."""


class PollPaths:
    """Remembers which paths failed, and prefers the one to the leader itself.

    After a failure the other paths are tried in turn, so that one sound path to
    a store that reaches the leader is found whatever the others do. The leader
    is tried again in between: where connections fell silent, the one to it is
    made anew first.

    Args:
        rng: Spreads the polls of several entries over the stores.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._direct_again_at = 0.0
        self._probe_at = 0.0
        self._avoided_leader: base.InstanceId | None = None
        self._relay: base.InstanceId | None = None
        self._failed: set[base.InstanceId] = set()
        self._failure_count = 0

    @property
    def response_timeout_s(self) -> float:
        """Time for the response to the next poll."""
        if self._failure_count < MAX_FAST_FAILURES:
            return FAST_RESPONSE_S
        return SLOW_RESPONSE_S

    @property
    def avoided_leader(self) -> base.InstanceId | None:
        """Leader that did not answer, to be asked first by a direct poll."""
        return self._avoided_leader

    def choose(
        self, stores: collections.abc.Collection[base.InstanceId], now: float
    ) -> PollPath:
        """Returns the path of the next poll.

        Args:
            stores: Stores that have answered lately or may answer.
            now: Current time.
        """
        if now >= self._direct_again_at:
            return DIRECT
        relays = {*stores} - {self._avoided_leader}
        if not relays - self._failed:
            self._failed.clear()
        untried = sorted(relays - self._failed)
        if self._relay not in untried:
            self._relay = self._rng.choice(untried) if untried else None
        return PollPath(self._relay)

    def record_answer(
        self, path: PollPath, leader: base.InstanceId, took_s: float
    ) -> None:
        """Records that a poll was answered.

        Args:
            path: Path of the poll.
            leader: Store that issued the answer.
            took_s: Time from the poll to the answer.
        """
        if took_s < FAST_RESPONSE_S:
            self._failure_count = 0
        if path.relay is None or leader != self._avoided_leader:
            self.restore_direct()

    def record_failure(
        self,
        path: PollPath,
        leader: base.InstanceId | None,
        now: float,
        silent_stores: collections.abc.Collection[base.InstanceId] = (),
    ) -> None:
        """Records that a poll was not answered by a leader.

        Args:
            path: Path of the poll.
            leader: Presumed leader before the poll, if any.
            now: Current time.
            silent_stores: Stores that were asked and did not answer in time;
                the others relay the next polls.
        """
        self._failure_count += 1
        self._failed.update(silent_stores)
        if path.relay is not None:
            self._failed.add(path.relay)
            self._direct_again_at = now
            return
        self._avoided_leader = leader or self._avoided_leader
        self._direct_again_at = now + DIRECT_AVOIDANCE_S
        self._probe_at = now + PROBE_INTERVAL_S

    def restore_direct(self) -> None:
        """Prefers the direct path again: the leader can be reached."""
        self._direct_again_at = 0.0
        self._avoided_leader = None
        self._failed.clear()

    def take_probe(self, now: float) -> base.InstanceId | None:
        """Returns the avoided leader if it is to be probed now."""
        if self._avoided_leader is None or now < self._probe_at:
            return None
        self._probe_at = now + PROBE_INTERVAL_S
        return self._avoided_leader
