"""Continues a response on another engine after its engine is lost.

A model's next token depends only on the text before it, so another engine
continues a response if the text so far is at the end of its prompt.
"""

import json
import typing

import attrs

from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _sse
from banyanbank_daemon._jobs import _token_counter

JsonObject = dict[str, typing.Any]

CHARS_PER_TOKEN = 4
TOKEN_LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")
TEXT_DELTA_FIELDS = frozenset(("role", "content"))
STATEFUL_OPTIONS = (
    "best_of",
    "echo",
    "functions",
    "guided_choice",
    "guided_grammar",
    "guided_json",
    "guided_regex",
    "response_format",
    "structured_outputs",
    "suffix",
    "tools",
)
"""Options that make an engine keep state that the text doesn't contain."""


def continued_body(document: JsonObject, text: str, tokens: int) -> bytes:
    """Returns the request body that continues a response after a text.

    Args:
        document: Body of the original request.
        text: Text generated so far.
        tokens: Tokens of that text.
    """
    if not text:
        return json.dumps(document).encode()
    document = dict(document)
    if "messages" in document:
        document["messages"] = _messages_with_text(document, text)
        document["continue_final_message"] = True
        document["add_generation_prompt"] = False
    else:
        document["prompt"] = str(document.get("prompt", "")) + text
    for name in TOKEN_LIMIT_FIELDS:
        limit = document.get(name)
        if isinstance(limit, int) and limit:
            document[name] = max(1, limit - tokens)
    min_tokens = document.get("min_tokens")
    if isinstance(min_tokens, int):
        document["min_tokens"] = max(0, min_tokens - tokens)
    return json.dumps(document).encode()


def _messages_with_text(document: JsonObject, text: str) -> list[JsonObject]:
    *before, last = document["messages"]
    is_prefilled = document.get("continue_final_message") is True
    if is_prefilled and isinstance(last.get("content"), str):
        return [*before, {**last, "content": last["content"] + text}]
    return [*before, last, {"role": "assistant", "content": text}]


def _estimate_prompt_tokens(document: JsonObject) -> int:
    """Returns an estimate of the tokens of a request's prompt."""
    text = str(document.get("prompt", ""))
    for message in document.get("messages", ()):
        text += str(message.get("content", ""))
    return len(text) // CHARS_PER_TOKEN + 1


class PartialAnswer:
    """Joins the events of all engines that work on one request.

    Args:
        body: Body of the original request.
    """

    def __init__(self, body: bytes) -> None:
        self._document: JsonObject = json.loads(body)
        self._token_counter = _token_counter.TokenCounter()
        self._texts: list[str] = []
        self._shared_fields: JsonObject = {}
        self._earlier_tokens = 0
        self._earlier_engine_ms = 0
        self._is_continued = False
        self._is_continuable = not any(
            map(self._document.get, STATEFUL_OPTIONS)
        )
        self._finish_reason: str | None = None
        self.has_emitted = False
        self.has_new = False
        """Whether the current engine has sent an event."""

    @property
    def can_continue(self) -> bool:
        """Whether another engine can continue exactly after the last token."""
        return self._is_continuable

    @property
    def tokens(self) -> int:
        """Tokens delivered so far."""
        return self._token_counter.tokens

    @property
    def is_complete(self) -> bool:
        """Whether all tokens were received, even without an end of stream."""
        limits = [self._document.get(name) for name in TOKEN_LIMIT_FIELDS]
        generated = self._token_counter.tokens
        is_at_limit = any(
            isinstance(n, int) and 0 < n <= generated for n in limits
        )
        return self._finish_reason is not None or is_at_limit

    def take(self, chunk: _messages.JobChunk) -> _messages.JobChunk:
        """Records an event and returns it rewritten for the joined stream.

        Raises:
            EventStreamError: The event is not a valid completion event.
        """
        try:
            if self._is_continued:
                chunk = _messages.JobChunk.of(
                    self._rewrite_event(chunk.document)
                )
            self._record_event(chunk.document)
        except (AttributeError, TypeError, ValueError) as exc:
            raise _sse.EventStreamError(
                f"An event of the engine's stream is malformed: {exc}"
            ) from exc
        if not self._is_continued:
            self._record_shared_fields(chunk.document)
        self.has_emitted = True
        self.has_new = True
        return chunk

    def continued(self, failed: _messages.JobFailed) -> bytes:
        """Returns the request body for the next engine after a failure."""
        self._is_continued = self.has_emitted
        self.has_new = False
        self._earlier_tokens = self._token_counter.tokens
        self._earlier_engine_ms += failed.engine_ms
        text = "".join(self._texts)
        return continued_body(self._document, text, self._earlier_tokens)

    def whole(self, ended: _messages.JobEnded) -> _messages.JobEnded:
        """Returns the counts of all engines, given those of the last one."""
        if not self._is_continued:
            return ended
        return attrs.evolve(
            ended,
            prompt_tokens=max(0, ended.prompt_tokens - self._earlier_tokens),
            completion_tokens=ended.completion_tokens + self._earlier_tokens,
            cached_tokens=self._clamp_cached_tokens(
                ended.cached_tokens, ended.prompt_tokens
            ),
            engine_ms=ended.engine_ms + self._earlier_engine_ms,
            stretches=self._token_counter.stretches,
        )

    def finish(
        self, failed: _messages.JobFailed
    ) -> tuple[_messages.JobChunk | None, _messages.JobEnded]:
        """Completes a response that lacks only its end of stream.

        Returns:
            The final event, or None if the engine has sent it, and the counts.
        """
        usage = self._token_counter.usage
        engine_ms = self._earlier_engine_ms + failed.engine_ms
        if usage is not None:
            return None, self._token_counter.ended_with_engine_ms(engine_ms)
        # The lost engine's own count of the prompt's tokens was not received.
        prompt_tokens = _estimate_prompt_tokens(self._document)
        self._token_counter.usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self._token_counter.tokens,
            "total_tokens": prompt_tokens + self._token_counter.tokens,
        }
        choices = []
        if self._finish_reason is None:
            choices = [self._final_choice()]
        event = {
            **self._shared_fields,
            "choices": choices,
            "usage": self._token_counter.usage,
        }
        chunk = _messages.JobChunk.of(event)
        return chunk, self._token_counter.ended_with_engine_ms(engine_ms)

    def _final_choice(self) -> JsonObject:
        choice: JsonObject = {"index": 0, "finish_reason": "length"}
        if "messages" in self._document:
            return {**choice, "delta": {}}
        return {**choice, "text": ""}

    def _record_shared_fields(self, document: JsonObject) -> None:
        for name in ("id", "created", "object", "model"):
            if name in document:
                self._shared_fields.setdefault(name, document[name])

    def _record_event(self, document: JsonObject) -> None:
        text = ""
        for choice in document.get("choices") or ():
            delta = choice.get("delta") or {}
            text += choice.get("text") or delta.get("content") or ""
            others = delta.keys() - TEXT_DELTA_FIELDS
            self._is_continuable &= not any(map(delta.get, others))
            self._finish_reason = (
                choice.get("finish_reason") or self._finish_reason
            )
        tokens = int(document.get("tokens") or 0)
        version = document.get("weight_version")
        self._token_counter.count(
            None if version is None else int(version), tokens
        )
        self._texts.append(text)
        if text and tokens <= 0:
            self._is_continuable = False
        if document.get("usage"):
            self._token_counter.usage = _sse.parse_usage(document["usage"])

    def _rewrite_event(self, document: JsonObject) -> JsonObject:
        """Rewrites a later engine's event for the first engine's stream."""
        document = {**document, **self._shared_fields}
        for choice in document.get("choices") or ():
            # Clients concatenate delta fields, so a second role would show.
            (choice.get("delta") or {}).pop("role", None)
        if document.get("usage"):
            document["usage"] = self._rewrite_usage(document["usage"])
        return document

    def _rewrite_usage(self, usage: JsonObject) -> JsonObject:
        prompt = int(usage.get("prompt_tokens") or 0)
        completion = int(usage.get("completion_tokens") or 0)
        rewritten = {
            **usage,
            "prompt_tokens": max(0, prompt - self._earlier_tokens),
            "completion_tokens": completion + self._earlier_tokens,
        }
        if "cached_tokens" in usage:
            cached = int(usage["cached_tokens"] or 0)
            rewritten["cached_tokens"] = self._clamp_cached_tokens(
                cached, prompt
            )
        details = usage.get("prompt_tokens_details")
        if isinstance(details, dict) and "cached_tokens" in details:
            cached = int(details["cached_tokens"] or 0)
            clamped = self._clamp_cached_tokens(cached, prompt)
            rewritten["prompt_tokens_details"] = {
                **details,
                "cached_tokens": clamped,
            }
        return rewritten

    def _clamp_cached_tokens(self, cached: int, prompt: int) -> int:
        """Limits cached tokens to the length of the caller's prompt."""
        return min(cached, max(0, prompt - self._earlier_tokens))
