"""Sample announcements."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway


def make_announcement(name: str, **changes: typing.Any) -> gateway.Announcement:
    """Returns an announcement of a ready endpoint with some fields changed."""
    announcement = gateway.Announcement(
        endpoint=base.EndpointId(name),
        service="service",
        address="10.0.0.1:80",
        domain=base.FailureDomain("a"),
        slots=4,
        state=gateway.EndpointState.READY,
        born_ms=1_000,
        sequence=4,
    )
    return attrs.evolve(announcement, **changes)
