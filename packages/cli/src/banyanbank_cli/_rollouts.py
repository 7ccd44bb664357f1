"""Commands of trainers, as requests to the callers' interface."""

import json
import pathlib
import typing

from returns import result

from banyanbank_cli import _client
from banyanbank_cli import _operator
from banyanbank_cli import _problems

SUBMIT_PATH = "/v1/rollouts/{trainer}/groups"
"""Takes a group of samples."""

FETCH_PATH = "/v1/rollouts/{trainer}/steps/{step}/batch"
"""Hands out the batch of a step."""

BATCH_PATH = "/v1/rollouts/{trainer}/batches/{batch}/{verb}"
"""Takes the acknowledgement of a batch, or a batch back."""

CANCEL_PATH = "/v1/rollouts/{trainer}/steps/{step}/cancel"
"""Drops a step."""

PUBLISH_PATH = "/v1/rollouts/{trainer}/versions"
"""Takes the announcement of new weights."""

NO_CONTENT = 204
"""Status of a batch that is not whole yet."""

JSON_HEADERS = (("Content-Type", "application/json"),)
"""Headers of requests with a body."""


def submit_call(
    trainer: str, step: int, group: int, prompt: str, max_tokens: int
) -> _client.Call:
    """Returns the request that submits one group."""
    call = _client.Call(
        "POST",
        SUBMIT_PATH.format(trainer=_client.quoted(trainer)),
        headers=JSON_HEADERS,
    )
    document: dict[str, typing.Any] = {
        "step": step,
        "group": group,
        "prompt": prompt,
        "request_id": call.request_id,
    }
    if max_tokens:
        document["max_tokens"] = max_tokens
    return _client.Call(
        call.method,
        call.path,
        json.dumps(document).encode(),
        call.headers,
        call.request_id,
    )


def acknowledge_call(trainer: str, batch: str) -> _client.Call:
    """Returns the request that acknowledges a batch."""
    return _post(_batch_path(trainer, batch, "acknowledge"), {})


def reject_call(trainer: str, batch: str, newest_version: int) -> _client.Call:
    """Returns the request that gives back a stale batch."""
    document = {"newest_version": newest_version}
    return _post(_batch_path(trainer, batch, "reject"), document)


def cancel_call(trainer: str, step: int) -> _client.Call:
    """Returns the request that drops a step."""
    path = CANCEL_PATH.format(trainer=_client.quoted(trainer), step=step)
    return _post(path, {})


def publish_call(
    trainer: str, version: int, location: str, size_bytes: int, base_model: str
) -> _client.Call:
    """Returns the request that announces new weights.

    Args:
        trainer: Who made them.
        version: Their version.
        location: Where the weight store keeps them.
        size_bytes: Their size.
        base_model: Model that an adapter extends; empty for whole weights.
    """
    document: dict[str, typing.Any] = {
        "version": version,
        "location": location,
        "size_bytes": size_bytes,
    }
    if base_model:
        document["base_model"] = base_model
    path = PUBLISH_PATH.format(trainer=_client.quoted(trainer))
    return _post(path, document)


def _batch_path(trainer: str, batch: str, verb: str) -> str:
    return BATCH_PATH.format(
        trainer=_client.quoted(trainer),
        batch=_client.quoted(batch, safe="/"),
        verb=verb,
    )


def _post(path: str, document: dict[str, typing.Any]) -> _client.Call:
    body = json.dumps(document).encode()
    return _client.Call("POST", path, body, JSON_HEADERS)


async def fetch(
    client: _client.Client,
    trainer: str,
    step: int,
    wait_s: int,
    output: pathlib.Path | None,
) -> _operator.CommandResult:
    """Fetches the batch of a step.

    Args:
        client: Any entry.
        trainer: Name of the trainer.
        step: Its step.
        wait_s: Seconds to wait for the batch to become whole.
        output: File for the batch; None returns it as text.
    """
    path = FETCH_PATH.format(trainer=_client.quoted(trainer), step=step)
    call = _client.Call("GET", f"{path}?wait_s={wait_s}", wait_s=wait_s)
    answer = await client.send(call)
    if isinstance(answer, result.Failure):
        return answer
    reply = answer.unwrap()
    if reply.status == NO_CONTENT:
        missing = reply.headers.getRawHeaders("x-samples-missing", ["some"])
        return result.Failure(
            _problems.Problem(f"The batch is not whole: {missing[0]} missing.")
        )
    if output is None:
        return result.Success(reply.body.decode("utf-8", "replace") + "\n")
    try:
        output.write_bytes(reply.body)
    except OSError as exc:
        return result.Failure(
            _problems.Problem(f"{output} cannot be written: {exc}")
        )
    return result.Success(f"{len(reply.body)} bytes are in {output}\n")
