"""Evacuations as an entry knows them from the answers to its polls."""

import banyanbank_gateway as gateway

from banyanbank_node import _event_log
from banyanbank_node import _messages


def supersedes(
    held: gateway.Evacuations,
    held_cluster: str,
    received: gateway.Evacuations,
    received_cluster: str,
) -> bool:
    """Whether an entry has to act on the evacuations that it received.

    Load addressed: callers' requests, which must reach no endpoint of an
    evacuated domain, and must reach those of domains whose evacuation a newly
    formed cluster does not know.

    Args:
        held: Evacuations that the entry acts on.
        held_cluster: Replicated log that they come from; empty if unknown.
        received: Evacuations that a leader sent.
        received_cluster: Replicated log that these come from; empty if the
            leader did not state it.
    """
    if received_cluster and received_cluster != held_cluster:
        # Another log counts its revisions from zero.
        return received != held
    return received.revision > held.revision


class EntryEvacuations:
    """Evacuations in force at an entry, and what its polls state of them.

    Args:
        events: Event log.

    Attributes:
        in_force: Evacuations that the entry acts on.
        polled_revision: Revision that the next poll states: the one received
            last if its cluster is known, else the one in force; 0 if a store of
            an earlier release may receive it.
    """

    def __init__(self, events: _event_log.EventLog) -> None:
        self._events = events
        self._cluster = ""
        self.in_force = gateway.Evacuations()
        self.polled_revision = 0

    def apply(
        self, answer: _messages.SyncAnswer, contact_age_ms: int | None
    ) -> None:
        """Applies the evacuations of an answer.

        Args:
            answer: Answer of a leader to a poll.
            contact_age_ms: Time since the answer before, for the log.
        """
        received = answer.evacuations
        is_superseded = supersedes(
            self.in_force, self._cluster, received, answer.cluster
        )
        self._cluster = answer.cluster or self._cluster
        if is_superseded:
            self.in_force = received
            self._events.write(
                "evacuation.in_force",
                revision=received.revision,
                evacuated=received.domains,
                source=answer.directory_of,
                contact_age_ms=contact_age_ms,
            )
        # The revision held tells a leader of a newly formed cluster to state
        # the cluster. Once it has, it would answer each poll with a revision
        # other than its own at once.
        self.polled_revision = (
            received.revision if answer.cluster else self.in_force.revision
        )
