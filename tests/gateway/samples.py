"""Announcements for tests."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway


def make_said(name: str, **changes: typing.Any) -> gateway.Announcement:
    """Returns the first announcement of an endpoint, with some changes."""
    said = gateway.Announcement(
        endpoint=base.EndpointId(name),
        service="service",
        address="10.0.0.1:80",
        domain=base.FailureDomain("a"),
        slots=4,
        state=gateway.EndpointState.READY,
        born_ms=1_000,
        sequence=4,
    )
    return attrs.evolve(said, **changes)
