"""Checks the platform's weight store before weight swaps are ordered."""

import enum
import json
import math
import typing
import urllib.parse

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout
import banyanbank_web as web
from returns import result

from banyanbank_daemon import _background
from banyanbank_daemon import _figures

CALL_TIMEOUT_S = 5.0
RETRY_DELAY_S = 2.0
"""Minimum seconds until a failed lookup is repeated."""
RECHECK_INTERVAL_S = 30.0
"""Seconds until an available version is looked up again for its rate."""
MAX_RETRY_AFTER_S = 60.0
"""Upper limit on the store's `Retry-After`, in seconds."""
MAX_RESPONSE_BYTES = 64 * 1024
DEFAULT_BYTES_PER_S = 10e9
"""Load rate limit if no store reports one."""
HTTP_OK = 200
NOT_FOUND = 404
BUSY_STATUSES = frozenset({429, 503})


class StoreErrorKind(enum.Enum):
    """Why a lookup failed."""

    MISSING = "missing"
    """The store does not have the version."""
    BUSY = "busy"
    """The store asks for a later retry."""
    FAILED = "failed"
    """There was no usable response."""


@attrs.frozen
class StoreError:
    """A failed lookup of a version in the store."""

    kind: StoreErrorKind
    """Kind of failure."""
    detail: str
    """Human-readable description."""
    retry_after_s: float = RETRY_DELAY_S
    """Seconds until the lookup may be repeated."""


@attrs.frozen
class StoredVersion:
    """Size and load rate of a version that the store has."""

    size_bytes: int
    """Bytes that each engine loads."""
    bytes_per_s: float
    """Maximum load rate of all engines together."""


StoreAnswer = result.Result[StoredVersion, StoreError]


class WeightStore(typing.Protocol):
    """Interface to a store of published weights."""

    async def find(
        self, model: base.ModelName, version: base.WeightVersion
    ) -> StoreAnswer:
        """Returns the size and load rate of a version, or why not."""
        ...


class WeightStoreClient:
    """Looks versions up over HTTP; lookups have no side effects.

    Args:
        clock: Monotonic clock for deadlines.
        upstream: HTTP client.
        url: Base URL of the store.
    """

    def __init__(
        self, clock: base.Clock, upstream: web.Upstream, url: str
    ) -> None:
        self._clock = clock
        self._upstream = upstream
        self._url = url.rstrip("/")

    async def find(
        self, model: base.ModelName, version: base.WeightVersion
    ) -> StoreAnswer:
        """Returns the size and load rate of a version, or why not."""
        name = urllib.parse.quote(model, safe="")
        sent = await self._upstream.send(
            web.UpstreamRequest(
                method="GET",
                url=f"{self._url}/models/{name}/versions/{version}",
                headers=(),
                body=b"",
                deadline=self._clock.now() + CALL_TIMEOUT_S,
            )
        )
        if isinstance(sent, result.Failure):
            return _build_failed_error(sent.failure().detail)
        response = sent.unwrap()
        body = await response.read_all(MAX_RESPONSE_BYTES)
        if response.status == NOT_FOUND:
            return _build_error(
                StoreErrorKind.MISSING,
                "The weight store lacks this version.",
            )
        if response.status in BUSY_STATUSES:
            delay = _parse_retry_after(response.header("retry-after"))
            detail = f"The weight store returned HTTP status {response.status}."
            return result.Failure(
                StoreError(StoreErrorKind.BUSY, detail, delay)
            )
        if response.status != HTTP_OK:
            return _build_failed_error(
                f"The weight store returned HTTP status {response.status}."
            )
        if isinstance(body, result.Failure):
            return _build_failed_error(body.failure().detail)
        return _parse_stored_version(body.unwrap())


def _build_error(kind: StoreErrorKind, detail: str) -> StoreAnswer:
    return result.Failure(StoreError(kind, detail))


def _build_failed_error(detail: str) -> StoreAnswer:
    return _build_error(StoreErrorKind.FAILED, detail)


def _parse_retry_after(text: str) -> float:
    if not (text.isascii() and text.isdigit()):
        return RETRY_DELAY_S
    return min(max(float(text), RETRY_DELAY_S), MAX_RETRY_AFTER_S)


def _parse_stored_version(body: bytes) -> StoreAnswer:
    try:
        document = json.loads(body)
        size, rate = document["size_bytes"], float(document["bytes_per_s"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return _build_failed_error("The weight store response is not valid.")
    if not isinstance(size, int) or size < 0:
        return _build_failed_error(
            "size_bytes in the store response is not an integer >= 0."
        )
    if not (math.isfinite(rate) and rate > 0):
        return _build_failed_error(
            "bytes_per_s in the store response is not a number > 0."
        )
    return result.Success(StoredVersion(size, rate))


@attrs.define
class _Lookup:
    """Lookup state of one model's newest publication."""

    publication: rollout.PublishVersion
    """The publication that is looked up."""
    next_lookup_at: float
    """Earliest time of the next lookup, in monotonic seconds."""
    is_in_flight: bool = False
    """Whether a lookup is in flight."""
    error: StoreError | None = None
    """Newest error; None before the first result and after a success."""


class PublicationGate:
    """Holds back publications until the weight store has them.

    Until the store has a model's newest version, the version available before
    is returned, so that swaps in progress are followed to completion. After a
    successful lookup, only a missing version is withheld again.

    Args:
        clock: Monotonic clock.
        store: The weight store; None makes every publication available.
        recorder: Recorder of timeline events.
    """

    def __init__(
        self,
        clock: base.Clock,
        store: WeightStore | None,
        recorder: base.Recorder,
    ) -> None:
        self._clock = clock
        self._store = store
        self._recorder = recorder
        self.stop()

    def stop(self) -> None:
        """Discards all results; the next leader does its own lookups."""
        self.bytes_per_s = DEFAULT_BYTES_PER_S
        self._lookups: dict[base.ModelName, _Lookup] = {}
        self._available: dict[base.ModelName, rollout.PublishVersion] = {}

    def poll(
        self, publications: typing.Sequence[rollout.PublishVersion]
    ) -> tuple[rollout.PublishVersion, ...]:
        """Starts due lookups and returns the available publications."""
        if self._store is None:
            return tuple(publications)
        now = self._clock.now()
        for publication in publications:
            lookup = self._get_lookup(publication, now)
            if not lookup.is_in_flight and now >= lookup.next_lookup_at:
                lookup.is_in_flight = True
                running_lookup = self._run_lookup(self._store, lookup)
                _background.start(running_lookup, "weight store lookup")
        return tuple(
            self._available[model] for model in sorted(self._available)
        )

    def withheld(self) -> tuple[_figures.WithheldVersion, ...]:
        """Returns the newest publications that are not available yet."""
        return tuple(
            _build_withheld(lookup)
            for model, lookup in sorted(self._lookups.items())
            if self._get_available_version(model) != lookup.publication.version
        )

    def _get_available_version(
        self, model: base.ModelName
    ) -> base.WeightVersion | None:
        available = self._available.get(model)
        return None if available is None else available.version

    def _get_lookup(
        self, publication: rollout.PublishVersion, now: float
    ) -> _Lookup:
        lookup = self._lookups.get(publication.model)
        if lookup is None or lookup.publication != publication:
            lookup = _Lookup(publication, now)
            self._lookups[publication.model] = lookup
        return lookup

    async def _run_lookup(self, store: WeightStore, lookup: _Lookup) -> None:
        publication = lookup.publication
        answer = await store.find(publication.model, publication.version)
        lookup.is_in_flight = False
        if self._lookups.get(publication.model) is not lookup:
            return
        if isinstance(answer, result.Failure):
            self._record_error(lookup, answer.failure())
        else:
            self._record_version(lookup, answer.unwrap())

    def _record_version(self, lookup: _Lookup, stored: StoredVersion) -> None:
        publication = lookup.publication
        lookup.error = None
        lookup.next_lookup_at = self._clock.now() + RECHECK_INTERVAL_S
        self.bytes_per_s = stored.bytes_per_s
        if (
            self._get_available_version(publication.model)
            != publication.version
        ):
            rate = f"bytes_per_s={stored.bytes_per_s:g}"
            self._record("weights.available", publication, rate)
        self._available[publication.model] = attrs.evolve(
            publication, size_bytes=stored.size_bytes
        )

    def _record_error(self, lookup: _Lookup, error: StoreError) -> None:
        publication = lookup.publication
        previous, lookup.error = lookup.error, error
        lookup.next_lookup_at = self._clock.now() + error.retry_after_s
        is_available = (
            self._get_available_version(publication.model)
            == publication.version
        )
        if is_available and error.kind is not StoreErrorKind.MISSING:
            return
        if is_available:
            del self._available[publication.model]
        if previous is None or previous.kind is not error.kind:
            detail = f"{error.kind.value}: {error.detail}"
            self._record("weights.withheld", publication, detail)

    def _record(
        self, kind: str, publication: rollout.PublishVersion, detail: str
    ) -> None:
        self._recorder.record(
            kind,
            detail=f"model={publication.model}"
            f" version={publication.version} {detail}",
        )


def _build_withheld(lookup: _Lookup) -> _figures.WithheldVersion:
    error = lookup.error
    return _figures.WithheldVersion(
        lookup.publication.model,
        lookup.publication.version,
        "asking" if error is None else error.kind.value,
        "" if error is None else error.detail,
    )
