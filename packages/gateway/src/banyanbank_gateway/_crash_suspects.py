"""Tells requests that end their endpoints from others that were there.

A connection that ends before any byte of an answer may have ended because the
request made its endpoint crash, or because something else did: another
request, a reset, an endpoint that closed an idle connection. The request is a
suspect then. A suspect is sent on a connection of its own, to an endpoint that
runs no other suspect of this instance; if that run ends in the same way, too,
the request is taken to end its endpoints.
"""

import collections.abc
import hashlib

import attrs
import banyanbank_base as base

SUSPICION_TTL_S = 60.0
"""Time for which a request is remembered after the last loss."""

MAX_REQUESTS = 10_000
"""Number of requests that are remembered; the oldest are dropped."""

MAX_LOSSES = 2
"""Losses after which a request is not sent any more."""


def digest_request(
    method: str,
    host: str,
    uri: str,
    headers: collections.abc.Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Returns a digest that is the same whoever repeats a request.

    Args:
        method: HTTP method.
        host: Requested host.
        uri: Path and query.
        headers: Headers that do not differ between two attempts.
        body: Complete body.
    """
    head = repr((method, host, uri, sorted(headers))).encode()
    return hashlib.blake2b(head + b"\0" + body, digest_size=16).digest()


@attrs.frozen
class CondemnedRequest:
    """Request that is taken to end its endpoints."""

    digest: bytes
    """Digest of the request."""
    expires_at: float
    """Unix time from which it may be sent again."""


class CrashSuspects:
    """Losses of requests that this instance has seen or was told of.

    Times are Unix times, since instances tell each other of condemned requests.

    Attributes:
        revision: Increases with each request that is condemned.
        on_condemned: Called with each request that this instance condemns.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.on_condemned: collections.abc.Callable[
            [CondemnedRequest], None
        ] = _ignore_request
        self._losses: dict[bytes, tuple[int, float]] = {}
        self._occupied: set[base.EndpointId] = set()

    def __len__(self) -> int:
        return len(self._losses)

    def is_suspect(self, digest: bytes, now: float) -> bool:
        """Whether a request was lost before and has to run alone."""
        return self._count(digest, now) > 0

    def is_condemned(self, digest: bytes, now: float) -> bool:
        """Whether a request is taken to end its endpoints."""
        return self._count(digest, now) >= MAX_LOSSES

    def is_free(self, endpoint: base.EndpointId) -> bool:
        """Whether no suspect of this instance runs on an endpoint."""
        return endpoint not in self._occupied

    def enter(self, endpoint: base.EndpointId) -> None:
        """Records that a suspect is sent to an endpoint."""
        self._occupied.add(endpoint)

    def leave(self, endpoint: base.EndpointId) -> None:
        """Records that the run of a suspect has ended."""
        self._occupied.discard(endpoint)

    def record_loss(self, digest: bytes, was_alone: bool, now: float) -> None:
        """Records that a connection ended before any byte of the answer.

        Args:
            digest: Digest of the request.
            was_alone: Whether the request ran as a suspect.
            now: Current time.
        """
        known = self._count(digest, now)
        losses = known + 1 if was_alone else max(known, 1)
        self._losses.pop(digest, None)
        self._losses[digest] = (losses, now + SUSPICION_TTL_S)
        self._drop_old(now)
        if known < MAX_LOSSES <= losses:
            self.revision += 1
            self.on_condemned(CondemnedRequest(digest, now + SUSPICION_TTL_S))

    def condemned(self, now: float) -> tuple[CondemnedRequest, ...]:
        """Returns the requests that are taken to end their endpoints."""
        return tuple(
            CondemnedRequest(digest, expires_at)
            for digest, (losses, expires_at) in self._losses.items()
            if losses >= MAX_LOSSES and now < expires_at
        )

    def apply(self, request: CondemnedRequest, now: float) -> bool:
        """Takes over what another instance found; returns whether it is new."""
        if self.is_condemned(request.digest, now) or request.expires_at <= now:
            return False
        expires_at = min(request.expires_at, now + SUSPICION_TTL_S)
        self._losses.pop(request.digest, None)
        self._losses[request.digest] = (MAX_LOSSES, expires_at)
        self._drop_old(now)
        self.revision += 1
        return True

    def record_answer(self, digest: bytes) -> None:
        """Clears a request that an endpoint has answered."""
        self._losses.pop(digest, None)

    def _drop_old(self, now: float) -> None:
        """Drops expired losses and those over the bound, the oldest first."""
        while self._losses:
            oldest = next(iter(self._losses))
            if (
                self._losses[oldest][1] > now
                and len(self._losses) <= MAX_REQUESTS
            ):
                return
            del self._losses[oldest]

    def _count(self, digest: bytes, now: float) -> int:
        losses, expires_at = self._losses.get(digest, (0, now))
        return losses if now < expires_at else 0


def _ignore_request(request: CondemnedRequest) -> None:
    """Default of `CrashSuspects.on_condemned`."""
