"""Which instance owns the queue of an endpoint."""

import collections.abc
import hashlib

import banyanbank_base as base


def rendezvous_owner(
    endpoint_id: base.EndpointId,
    members: collections.abc.Collection[base.InstanceId],
) -> base.InstanceId | None:
    """Chooses the owner by highest random weight.

    When a member leaves or joins, only endpoints that it owned or comes to
    own change hands.

    Args:
        endpoint_id: Whose queue.
        members: Live instances; the order does not matter.

    Returns:
        The owner; None without members.
    """
    if not members:
        return None
    return max(
        members, key=lambda member: (_weight(endpoint_id, member), member)
    )


def _weight(endpoint_id: base.EndpointId, member: base.InstanceId) -> bytes:
    text = f"{endpoint_id}\0{member}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
