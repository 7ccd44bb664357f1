"""OpenAI-compatible shapes of model calls and their answers."""

import json
import typing

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_daemon import _jobs

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 1_024
MOST_TOKENS = 1_000_000

JsonObject = dict[str, typing.Any]


@attrs.frozen
class CompletionCall:
    """A checked call of `/v1/completions` or `/v1/chat/completions`."""

    document: JsonObject
    """The caller's JSON."""
    model: base.ModelName
    """Model asked for."""
    is_chat: bool
    """Whether the chat shape is spoken."""
    is_stream: bool
    """Whether the caller wants server-sent events."""
    max_tokens: int
    """Most tokens to make."""
    prompt: str
    """Text of the prompt, for cost and cache affinity."""

    @property
    def path(self) -> str:
        """Path of the engine's call."""
        return "/v1/chat/completions" if self.is_chat else "/v1/completions"

    @property
    def prompt_tokens(self) -> int:
        """Estimate of the prompt's tokens."""
        return len(self.prompt) // BYTES_PER_TOKEN + 1

    @property
    def cost_tokens(self) -> int:
        """Estimate of the call's cost in tokens."""
        return self.prompt_tokens + self.max_tokens

    def with_limit(self, most_tokens: int) -> "CompletionCall":
        """Returns the call with `max_tokens` at most as given."""
        return attrs.evolve(self, max_tokens=min(self.max_tokens, most_tokens))

    def engine_body(self) -> bytes:
        """Returns the body for the engine, which always streams."""
        document = dict(self.document)
        document["stream"] = True
        document["max_tokens"] = self.max_tokens
        document["stream_options"] = {"include_usage": True}
        return json.dumps(document).encode()


def parse_call(
    body: bytes, is_chat: bool, most_tokens: int
) -> result.Result[CompletionCall, base.Refusal]:
    """Checks the body of a model call.

    Args:
        body: JSON as sent.
        is_chat: Which of the two shapes.
        most_tokens: Upper bound for `max_tokens`.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        return _bad(f"The body is not JSON: {exc}.")
    if not isinstance(document, dict):
        return _bad("The body must be a JSON object.")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return _bad("Field model must name a model.")
    is_stream = document.get("stream", False)
    if not isinstance(is_stream, bool):
        return _bad("Field stream must be true or false.")
    if document.get("n", 1) != 1:
        return _bad("Field n must be 1; send one call for each answer.")
    prompt = _read_prompt(document, is_chat)
    if prompt is None:
        return _bad(
            "Field messages must be a list of objects with role and content."
            if is_chat
            else "Field prompt must be a string."
        )
    max_tokens = document.get("max_tokens") or DEFAULT_MAX_TOKENS
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool):
        return _bad("Field max_tokens must be a whole number.")
    if max_tokens < 1:
        return _bad("Field max_tokens must be at least 1.")
    return result.Success(
        CompletionCall(
            document=document,
            model=base.ModelName(model),
            is_chat=is_chat,
            is_stream=is_stream,
            max_tokens=min(max_tokens, most_tokens),
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


def _bad(detail: str) -> result.Result[CompletionCall, base.Refusal]:
    return result.Failure(
        base.Refusal(
            base.RefusalReason.BAD_REQUEST, base.Outcome.NOT_RUN, detail
        )
    )


class AnswerCollector:
    """Joins an engine's events into one whole answer."""

    def __init__(self) -> None:
        self._parts: list[str] = []
        self._finish_reason: str | None = None

    @property
    def text(self) -> str:
        """Text made so far."""
        return "".join(self._parts)

    def add(self, event: JsonObject) -> None:
        """Takes in one event."""
        for choice in event.get("choices", ()):
            delta = choice.get("delta") or {}
            self._parts.append(choice.get("text") or delta.get("content") or "")
            self._finish_reason = (
                choice.get("finish_reason") or self._finish_reason
            )

    def answer(
        self, call: CompletionCall, request_id: str, ended: _jobs.JobEnded
    ) -> JsonObject:
        """Returns the whole answer in the caller's shape."""
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
            "usage": usage_document(ended),
            "weight_versions": [
                {"version": stretch.version, "tokens": stretch.tokens}
                for stretch in ended.stretches
            ],
        }


def usage_document(ended: _jobs.JobEnded) -> JsonObject:
    """Returns token counts in the OpenAI shape."""
    return {
        "prompt_tokens": ended.prompt_tokens,
        "completion_tokens": ended.completion_tokens,
        "total_tokens": ended.prompt_tokens + ended.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": ended.cached_tokens},
    }
