"""Stand-in for a model engine with streamed answers and weight versions."""

import collections
import json
import math
import random
import typing
import zlib

import attrs
from twisted.web import http
from twisted.web import server

from banyanbank_fakes import _prefix_cache
from banyanbank_fakes import _server

MAX_TOKENS_DEFAULT = 64
CHARS_PER_TOKEN = 4
WORDS = (
    "fold",
    "press",
    "crease",
    "align",
    "turn",
    "check",
    "label",
    "seal",
    "stack",
    "wrap",
    "sort",
)
"""None ends another, and their number shares no factor with a chunk's."""


@attrs.define
class EngineRun:
    """What the engine truly did for one request."""

    request_id: str
    """Id that came with the request; empty when none came."""
    headers: dict[str, str]
    """Every header received, names in lower case."""
    prompt: str
    """Prompt received."""
    cached_tokens: int = 0
    """Tokens of the prompt found in the prefix cache."""
    tokens: int = 0
    """Tokens made."""
    versions: collections.Counter = attrs.field(factory=collections.Counter)
    """Tokens made under each weight version."""
    finished: bool = False
    """Whether the whole answer was written."""


@attrs.define
class FakeEngine(_server.FakeServer):
    """Serves the OpenAI-compatible completion calls."""

    model: str = "coach"
    """Model served."""
    weight_version: int = 1
    """Weight version that makes tokens now."""
    token_s: float = 0.0005
    """Seconds to make one token of one stream."""
    prefill_token_s: float = 0.0
    """Seconds to compute one token of a prompt that is not cached."""
    chunk_tokens: int = 8
    """Tokens written at a time."""
    swap_s: float = 0.02
    """Seconds that a weight swap takes."""
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    """Draws answer lengths."""
    runs: list[EngineRun] = attrs.field(factory=list)
    """Every request that began to run, in order."""
    orders: list[dict] = attrs.field(factory=list)
    """Every order taken, in order."""
    running: int = 0
    """Requests that run now."""
    crash_after_tokens: int | None = None
    """Dies, with every stream, once a stream has so many; None for never."""
    cache: _prefix_cache.PrefixCache = attrs.field(
        factory=_prefix_cache.PrefixCache
    )
    """Prefix cache."""
    newest_fencing_token: int = 0
    """Highest fencing token seen."""
    _last_run: EngineRun | None = None
    _open: set[server.Request] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Adds the calls of an engine."""
        self.add("POST", "/v1/completions", self._complete)
        self.add("POST", "/v1/chat/completions", self._complete)
        self.add("POST", "/engine/load", self._load)
        self.add("GET", "/engine/report", self._report)

    async def _complete(self, request: server.Request, body: bytes) -> None:
        call = json.loads(body)
        headers = {
            name.decode().lower(): values[-1].decode()
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        run = EngineRun(
            request_id=headers.get("x-request-id", ""),
            headers=headers,
            prompt=_prompt_of(call),
            cached_tokens=self.cache.use(_cached_text(call)),
        )
        self.runs.append(run)
        self.running += 1
        self._open.add(request)
        try:
            await self._stream(request, call, run)
        finally:
            self._open.discard(request)
            self.running -= 1

    async def crash(self) -> None:
        """Dies: cuts every stream and listens no more."""
        for request in list(self._open):
            _server.abort(request)
        await self.stop()

    async def _stream(
        self, request: server.Request, call: dict, run: EngineRun
    ) -> None:
        if self.faults.drop_before_answer:
            _server.abort(request)
            return
        answered = run
        if self.faults.cross_answers and self._last_run is not None:
            answered = self._last_run
        self._last_run = run
        request.setHeader(b"x-request-id", answered.request_id.encode())
        request.setHeader(b"content-type", b"text/event-stream")
        uncached = _count_tokens(run.prompt) - run.cached_tokens
        await self.pause(self.prefill_token_s * max(0, uncached))
        written = 0
        total = self._length(call, run.prompt)
        chat = "messages" in call
        while run.tokens < total:
            count = min(self.chunk_tokens, total - run.tokens)
            await self.pause(self.token_s * count)
            if not _server.is_open(request):
                return
            run.tokens += count
            run.versions[self.weight_version] += count
            text = text_of(answered.prompt, run.tokens - count, count)
            data = _chunk(text, count, self, chat)
            written += len(data)
            request.write(data)
            if run.tokens >= (self.crash_after_tokens or math.inf):
                await self.crash()
                return
            limit = self.faults.drop_after_bytes
            if limit is not None and written >= limit:
                _server.abort(request)
                return
        if not self.faults.omit_end_mark:
            request.write(_last_chunk(run, chat))
        request.finish()
        run.finished = True

    def _length(self, call: dict, prompt: str) -> int:
        limit = int(call.get("max_tokens") or MAX_TOKENS_DEFAULT)
        seed = int(call.get("seed") or zlib.crc32(prompt.encode()))
        drawn = random.Random(seed).paretovariate(1.5) * limit / 8
        return max(1, min(limit, int(drawn)))

    async def _load(self, request: server.Request, body: bytes) -> None:
        order = json.loads(body)
        token = int(order.get("fencing_token", 0))
        old = token < self.newest_fencing_token
        if old and not self.faults.ignore_fencing:
            answer = {"error": "old fencing token"}
            _server.send_json(request, http.CONFLICT, answer)
            return
        self.newest_fencing_token = max(token, self.newest_fencing_token)
        self.orders.append(order)
        await self.pause(self.swap_s)
        if self.faults.fail_swaps > 0:
            self.faults.fail_swaps -= 1
            answer = {"error": "swap failed"}
            _server.send_json(request, http.INTERNAL_SERVER_ERROR, answer)
            return
        if self.faults.mixed_swaps > 0:
            self.faults.mixed_swaps -= 1
            self.weight_version = 0
            answer = {"error": "swap failed half way"}
            _server.send_json(request, http.INTERNAL_SERVER_ERROR, answer)
            return
        if self.faults.half_swaps > 0:
            self.faults.half_swaps -= 1
        else:
            self.weight_version = int(order["version"])
        await self._report(request, b"")

    async def _report(self, request: server.Request, body: bytes) -> None:
        report = {
            "model": self.model,
            "weight_version": self.weight_version,
            "running": self.running,
        }
        _server.send_json(request, http.OK, report)


def text_of(prompt: str, start: int, count: int) -> str:
    """Returns the tokens that any stand-in makes for a prompt.

    Args:
        prompt: Prompt as received.
        start: Tokens made before.
        count: Tokens wanted.
    """
    first = _first_word(prompt)
    words = [
        WORDS[(first + position) % len(WORDS)]
        for position in range(start, start + count)
    ]
    return " ".join(words) + " "


def _first_word(prompt: str) -> int:
    # As with a model, the text before decides alone: what ends in a token goes
    # on with the one that follows it.
    last = _last_token(prompt)
    if last is None:
        return zlib.crc32(prompt.encode())
    return WORDS.index(last) + 1


def _last_token(prompt: str) -> str | None:
    return next((w for w in WORDS if prompt.endswith(w + " ")), None)


def _count_tokens(prompt: str) -> int:
    made = 0
    while (last := _last_token(prompt)) is not None:
        prompt = prompt[: -len(last) - 1]
        made += 1
    return max(1, len(prompt) // CHARS_PER_TOKEN) + made


def _prompt_of(call: dict) -> str:
    if "messages" not in call:
        return str(call.get("prompt", ""))
    contents = [str(m.get("content", "")) for m in call["messages"]]
    if call.get("continue_final_message") is True:
        *before, last = contents
        return "\n".join(before) + last
    return "\n".join(contents)


def _cached_text(call: dict) -> str:
    if "messages" not in call:
        return str(call.get("prompt", ""))
    lines = (f"{m['role']}: {m.get('content', '')}" for m in call["messages"])
    return "\n".join(lines)


def _chunk(text: str, tokens: int, engine: FakeEngine, chat: bool) -> bytes:
    choice: dict[str, typing.Any] = {"index": 0, "finish_reason": None}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    event = {
        "choices": [choice],
        "tokens": tokens,
        "weight_version": engine.weight_version,
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def _last_chunk(run: EngineRun, chat: bool) -> bytes:
    choice: dict[str, typing.Any] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["delta"] = {}
    else:
        choice["text"] = ""
    event = {
        "choices": [choice],
        "usage": {
            "prompt_tokens": _count_tokens(run.prompt),
            "completion_tokens": run.tokens,
            "cached_tokens": run.cached_tokens,
        },
    }
    return b"data: " + json.dumps(event).encode() + b"\n\ndata: [DONE]\n\n"
