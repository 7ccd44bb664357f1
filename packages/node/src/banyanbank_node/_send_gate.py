"""Interface that decides when the attempts of a request may be sent."""

import collections.abc
import typing

import banyanbank_base as base
import banyanbank_gateway as gateway


class SendGate(typing.Protocol):
    """Admission control of one request that this process itself sends."""

    async def wait_for_room(
        self,
        service: str,
        tried: collections.abc.Collection[base.EndpointId],
    ) -> float | None:
        """Waits until the request may be sent to an endpoint of a service.

        Args:
            service: Service of the next attempt.
            tried: Endpoints that the request was sent to already.

        Returns:
            None if the request may be sent now. Else the seconds it has waited;
            the service may have changed in the meantime, so the caller finds it
            anew and asks again.
        """
        ...

    def has_room(self, target: gateway.Announcement) -> bool:
        """Whether the request may be sent to an endpoint now."""
        ...

    def started(self, target: gateway.Announcement) -> None:
        """Records that an attempt at an endpoint begins."""
        ...

    def ended(self, target: gateway.Announcement) -> None:
        """Records that an attempt has ended, in whatever way."""
        ...
