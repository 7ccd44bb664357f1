"""Parsing of OpenAI-compatible completion calls, and their responses."""

import json
import typing

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_daemon import _jobs

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 1_024
MAX_TOKENS_LIMIT = 1_000_000

JsonObject = dict[str, typing.Any]


@attrs.frozen
class CompletionCall:
    """A validated call of `/v1/completions` or `/v1/chat/completions`."""

    document: JsonObject
    """Decoded JSON body of the request."""
    model: base.ModelName
    """Requested model."""
    is_chat: bool
    """Whether it is a chat completion."""
    is_stream: bool
    """Whether the caller wants server-sent events."""
    max_tokens: int
    """Maximum number of tokens to generate."""
    prompt: str
    """Prompt text, for the cost estimate and for cache affinity."""

    @property
    def path(self) -> str:
        """Request path at the engine."""
        return "/v1/chat/completions" if self.is_chat else "/v1/completions"

    @property
    def prompt_tokens(self) -> int:
        """Estimated number of prompt tokens."""
        return len(self.prompt) // BYTES_PER_TOKEN + 1

    @property
    def cost_tokens(self) -> int:
        """Estimated cost of the call in tokens."""
        return self.prompt_tokens + self.max_tokens

    def with_max_tokens_limit(self, max_tokens_limit: int) -> "CompletionCall":
        """Returns a copy with `max_tokens` capped at the limit."""
        return attrs.evolve(
            self, max_tokens=min(self.max_tokens, max_tokens_limit)
        )

    def build_engine_body(self) -> bytes:
        """Returns the request body for the engine, always with streaming."""
        document = dict(self.document)
        document["stream"] = True
        document["max_tokens"] = self.max_tokens
        document["stream_options"] = {"include_usage": True}
        return json.dumps(document).encode()


def parse_call(
    body: bytes, is_chat: bool, max_tokens_limit: int
) -> result.Result[CompletionCall, base.Refusal]:
    """Parses and validates the body of a completion call.

    Args:
        body: JSON body of the request.
        is_chat: Whether it is a chat completion.
        max_tokens_limit: Upper bound that caps `max_tokens`.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        return _refuse_bad_request(f"The body is not valid JSON: {exc}.")
    if not isinstance(document, dict):
        return _refuse_bad_request("The body must be a JSON object.")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return _refuse_bad_request("Field model must be a non-empty string.")
    is_stream = document.get("stream", False)
    if not isinstance(is_stream, bool):
        return _refuse_bad_request("Field stream must be true or false.")
    if document.get("n", 1) != 1:
        return _refuse_bad_request(
            "Field n must be 1; send one request for each completion."
        )
    prompt = _read_prompt(document, is_chat)
    if prompt is None:
        return _refuse_bad_request(
            "Field messages must be a list of objects with role and content."
            if is_chat
            else "Field prompt must be a string."
        )
    max_tokens = document.get("max_tokens") or DEFAULT_MAX_TOKENS
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool):
        return _refuse_bad_request("Field max_tokens must be an integer.")
    if max_tokens < 1:
        return _refuse_bad_request("Field max_tokens must be at least 1.")
    return result.Success(
        CompletionCall(
            document=document,
            model=base.ModelName(model),
            is_chat=is_chat,
            is_stream=is_stream,
            max_tokens=min(max_tokens, max_tokens_limit),
            prompt=prompt,
        )
    )


def _read_prompt(document: JsonObject, is_chat: bool) -> str | None:
    if not is_chat:
        prompt = document.get("prompt")
        return prompt if isinstance(prompt, str) else None
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return None
    parts = []
    for message in messages:
        if not isinstance(message, dict) or "role" not in message:
            return None
        parts.append(f"{message['role']}: {message.get('content', '')}")
    return "\n".join(parts)


def _refuse_bad_request(
    detail: str,
) -> result.Result[CompletionCall, base.Refusal]:
    return result.Failure(
        base.Refusal(
            base.RefusalReason.BAD_REQUEST, base.Outcome.NOT_RUN, detail
        )
    )


class CompletionCollector:
    """Joins an engine's stream events into one response."""

    def __init__(self) -> None:
        self._text_parts: list[str] = []
        self._finish_reason: str | None = None

    @property
    def text(self) -> str:
        """Text generated so far."""
        return "".join(self._text_parts)

    def add(self, event: JsonObject) -> None:
        """Appends the text of one event."""
        for choice in event.get("choices", ()):
            delta = choice.get("delta") or {}
            self._text_parts.append(
                choice.get("text") or delta.get("content") or ""
            )
            self._finish_reason = (
                choice.get("finish_reason") or self._finish_reason
            )

    def answer(
        self, call: CompletionCall, request_id: str, ended: _jobs.JobEnded
    ) -> JsonObject:
        """Returns the OpenAI-compatible response."""
        choice: JsonObject = {
            "index": 0,
            "finish_reason": self._finish_reason or "stop",
        }
        if call.is_chat:
            choice["message"] = {"role": "assistant", "content": self.text}
        else:
            choice["text"] = self.text
        return {
            "id": request_id,
            "object": (
                "chat.completion" if call.is_chat else "text_completion"
            ),
            "model": call.model,
            "choices": [choice],
            "usage": build_usage(ended),
            "weight_versions": [
                {"version": stretch.version, "tokens": stretch.tokens}
                for stretch in ended.stretches
            ],
        }


def build_usage(ended: _jobs.JobEnded) -> JsonObject:
    """Returns token counts as an OpenAI `usage` object."""
    return {
        "prompt_tokens": ended.prompt_tokens,
        "completion_tokens": ended.completion_tokens,
        "total_tokens": ended.prompt_tokens + ended.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": ended.cached_tokens},
    }
