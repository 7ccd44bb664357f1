"""Asks the platform's weight store before weights are ordered to engines."""

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

CALL_S = 5.0
ASK_AGAIN_S = 2.0
"""Seconds until a version that cannot be ordered is asked for again."""
RECHECK_S = 30.0
"""Seconds after which a known version is asked for again, for its rate."""
MAX_RETRY_AFTER_S = 60.0
"""Longer delays that the store asks for are cut to this."""
MAX_ANSWER_BYTES = 64 * 1024
DEFAULT_BYTES_PER_S = 10e9
"""Rate limit where no store tells one."""
OK = 200
NOT_FOUND = 404
BUSY_STATUS = frozenset({429, 503})


class StoreErrorKind(enum.Enum):
    """What went wrong with a question."""

    MISSING = "missing"
    """The store does not have the version."""
    BUSY = "busy"
    """The store asks to be asked later."""
    FAILED = "failed"
    """There was no usable answer."""


@attrs.frozen
class StoreError:
    """Why a version is not known to be in the store."""

    kind: StoreErrorKind
    """What went wrong."""
    detail: str
    """What happened, for people."""
    retry_after_s: float = ASK_AGAIN_S
    """Seconds until the next question."""


@attrs.frozen
class StoredVersion:
    """A version that the store has."""

    size_bytes: int
    """Bytes that each engine loads."""
    bytes_per_s: float
    """Rate at which all engines together may load."""


StoreAnswer = result.Result[StoredVersion, StoreError]


class WeightStore(typing.Protocol):
    """Knows published weights."""

    async def find(
        self, model: base.ModelName, version: base.WeightVersion
    ) -> StoreAnswer:
        """Returns what the store tells of a version."""
        ...


class WeightStoreClient:
    """Asks the store over HTTP; questions change nothing.

    Args:
        clock: Clock that deadlines are told on.
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
        """Returns what the store tells of a version."""
        name = urllib.parse.quote(model, safe="")
        sent = await self._upstream.send(
            web.UpstreamRequest(
                method="GET",
                url=f"{self._url}/models/{name}/versions/{version}",
                headers=(),
                body=b"",
                deadline=self._clock.now() + CALL_S,
            )
        )
        if isinstance(sent, result.Failure):
            return _failed(sent.failure().detail)
        response = sent.unwrap()
        body = await response.read_all(MAX_ANSWER_BYTES)
        if response.status == NOT_FOUND:
            return _error(StoreErrorKind.MISSING, "The store does not have it.")
        if response.status in BUSY_STATUS:
            delay = _retry_after_s(response.header("retry-after"))
            detail = f"The store answered {response.status}."
            return result.Failure(
                StoreError(StoreErrorKind.BUSY, detail, delay)
            )
        if response.status != OK:
            return _failed(f"The store answered {response.status}.")
        if isinstance(body, result.Failure):
            return _failed(body.failure().detail)
        return _read(body.unwrap())


def _error(kind: StoreErrorKind, detail: str) -> StoreAnswer:
    return result.Failure(StoreError(kind, detail))


def _failed(detail: str) -> StoreAnswer:
    return _error(StoreErrorKind.FAILED, detail)


def _retry_after_s(text: str) -> float:
    if not (text.isascii() and text.isdigit()):
        return ASK_AGAIN_S
    return min(max(float(text), ASK_AGAIN_S), MAX_RETRY_AFTER_S)


def _read(body: bytes) -> StoreAnswer:
    try:
        document = json.loads(body)
        size, rate = document["size_bytes"], float(document["bytes_per_s"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return _failed("The store's answer cannot be read.")
    if not isinstance(size, int) or size < 0:
        return _failed("The store's answer gives no size_bytes.")
    if not (math.isfinite(rate) and rate > 0):
        return _failed("The store's answer gives no bytes_per_s above 0.")
    return result.Success(StoredVersion(size, rate))


@attrs.define
class _Question:
    """What is known of one model's newest publication."""

    publication: rollout.PublishVersion
    """What was published."""
    ask_at: float
    """Monotonic seconds of the next question."""
    is_asked: bool = False
    """Whether an answer is awaited."""
    error: StoreError | None = None
    """Newest error; None before an answer and after a good one."""


class StoreGate:
    """Lets through versions that the store has, and knows its rate.

    Until the store has a model's newest version, the one let through before
    stays in force, so that what is under way is followed to its end. An error
    after a good answer withholds nothing but a version that has gone missing.

    Args:
        clock: Source of time.
        store: The store; None lets every publication through.
        recorder: Takes time line events.
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
        """Forgets the answers; the next leader asks for its own."""
        self.bytes_per_s = DEFAULT_BYTES_PER_S
        self._questions: dict[base.ModelName, _Question] = {}
        self._known: dict[base.ModelName, rollout.PublishVersion] = {}

    def available(
        self, publications: typing.Sequence[rollout.PublishVersion]
    ) -> tuple[rollout.PublishVersion, ...]:
        """Returns what may be ordered now, and asks what is to be asked."""
        if self._store is None:
            return tuple(publications)
        now = self._clock.now()
        for publication in publications:
            question = self._question_of(publication, now)
            if not question.is_asked and now >= question.ask_at:
                question.is_asked = True
                asking = self._ask(self._store, question)
                _background.start(asking, "weight store")
        return tuple(self._known[model] for model in sorted(self._known))

    def withheld(self) -> tuple[_figures.WithheldVersion, ...]:
        """Returns the newest publications that are not let through."""
        return tuple(
            _withheld(question)
            for model, question in sorted(self._questions.items())
            if self._version_of(model) != question.publication.version
        )

    def _version_of(self, model: base.ModelName) -> base.WeightVersion | None:
        known = self._known.get(model)
        return None if known is None else known.version

    def _question_of(
        self, publication: rollout.PublishVersion, now: float
    ) -> _Question:
        question = self._questions.get(publication.model)
        if question is None or question.publication != publication:
            question = _Question(publication, now)
            self._questions[publication.model] = question
        return question

    async def _ask(self, store: WeightStore, question: _Question) -> None:
        publication = question.publication
        answer = await store.find(publication.model, publication.version)
        question.is_asked = False
        if self._questions.get(publication.model) is not question:
            return
        if isinstance(answer, result.Failure):
            self._take_error(question, answer.failure())
        else:
            self._take_version(question, answer.unwrap())

    def _take_version(self, question: _Question, stored: StoredVersion) -> None:
        publication = question.publication
        question.error = None
        question.ask_at = self._clock.now() + RECHECK_S
        self.bytes_per_s = stored.bytes_per_s
        if self._version_of(publication.model) != publication.version:
            rate = f"bytes_per_s={stored.bytes_per_s:g}"
            self._record("weights.available", publication, rate)
        self._known[publication.model] = attrs.evolve(
            publication, size_bytes=stored.size_bytes
        )

    def _take_error(self, question: _Question, error: StoreError) -> None:
        publication = question.publication
        before, question.error = question.error, error
        question.ask_at = self._clock.now() + error.retry_after_s
        is_known = self._version_of(publication.model) == publication.version
        if is_known and error.kind is not StoreErrorKind.MISSING:
            return
        if is_known:
            del self._known[publication.model]
        if before is None or before.kind is not error.kind:
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


def _withheld(question: _Question) -> _figures.WithheldVersion:
    error = question.error
    return _figures.WithheldVersion(
        question.publication.model,
        question.publication.version,
        "asking" if error is None else error.kind.value,
        "" if error is None else error.detail,
    )
