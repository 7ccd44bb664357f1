"""Assignment of endpoint queues to instances."""

import collections.abc
import hashlib

import banyanbank_base as base


def rendezvous_owner(
    endpoint_id: base.EndpointId,
    members: collections.abc.Collection[base.InstanceId],
) -> base.InstanceId | None:
    """Returns the owner by rendezvous hashing (highest random weight).

    When a member leaves or joins, only the endpoints that it owned or comes
    to own get another owner.

    Args:
        endpoint_id: Endpoint whose queue is assigned.
        members: Live instances in any order.

    Returns:
        The owner, or None when there are no members.
    """
    if not members:
        return None
    return max(
        members, key=lambda member: (_weight(endpoint_id, member), member)
    )


def _weight(endpoint_id: base.EndpointId, member: base.InstanceId) -> bytes:
    text = f"{endpoint_id}\0{member}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
