"""Handlers of the rollout routes, which trainers call."""

import json
import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_rollout as rollout
import banyanbank_web as web
from returns import result

from banyanbank_daemon import _batches
from banyanbank_daemon import _figures
from banyanbank_daemon import _rollout_plane
from banyanbank_daemon._entry import _admission
from banyanbank_daemon._entry import _deadlines

OK = 200
ACCEPTED = 202
NO_CONTENT = 204
MAX_FETCH_WAIT_S = 60.0
MAX_INTEGER = 2**53  # above it, JSON numbers read as doubles lose precision

_REASON_BY_LEDGER_REFUSAL = {
    rollout.LedgerRefusal.CONFLICT: base.RefusalReason.CONFLICT,
    rollout.LedgerRefusal.UNKNOWN: base.RefusalReason.NOT_FOUND,
    rollout.LedgerRefusal.STEP_DONE: base.RefusalReason.CONFLICT,
    rollout.LedgerRefusal.WRONG_BATCH: base.RefusalReason.CONFLICT,
    rollout.LedgerRefusal.NOT_STALE: base.RefusalReason.CONFLICT,
    rollout.LedgerRefusal.TOO_MANY_STEPS: base.RefusalReason.OVERLOADED,
}


@attrs.frozen
class _TrainerRequest:
    """A trainer's request that passed authentication and validation."""

    trainer: control.Trainer
    """Declaration of the trainer."""
    deadline: float
    """Deadline in monotonic seconds."""
    document: dict[str, typing.Any]
    """Decoded JSON body; empty when the request has no body."""


class RequestFieldError(ValueError):
    """A field or parameter of a request is missing or invalid."""


class RolloutCalls:
    """Handlers of trainers' requests.

    Args:
        clock: Monotonic clock of the deadlines.
        admission: Authenticates callers.
        plane: Proposes commands to the sample ledger.
        batches: Fetches batches from the leader.
        waits: Measures the time that trainers wait for batches.
    """

    def __init__(
        self,
        clock: base.Clock,
        admission: _admission.Admission,
        plane: _rollout_plane.RolloutPlane,
        batches: _batches.BatchClient,
        waits: _figures.TrainerWaits,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._plane = plane
        self._batches = batches
        self._waits = waits

    async def submit(self, exchange: web.Exchange) -> None:
        """Submits a group of samples to generate."""
        await self._propose(exchange, self._build_submit, ACCEPTED)

    async def acknowledge(self, exchange: web.Exchange) -> None:
        """Acknowledges a batch."""
        await self._propose(
            exchange,
            lambda _request, name: rollout.AcknowledgeBatch(
                name, exchange.parameters["batch"]
            ),
            OK,
        )

    async def reject(self, exchange: web.Exchange) -> None:
        """Rejects an unused batch that has become stale."""
        await self._propose(
            exchange,
            lambda request, name: rollout.RejectBatch(
                name,
                exchange.parameters["batch"],
                base.WeightVersion(
                    _read_integer(request.document, "newest_version")
                ),
            ),
            OK,
        )

    async def cancel(self, exchange: web.Exchange) -> None:
        """Cancels a training step."""
        await self._propose(
            exchange,
            lambda _request, name: rollout.CancelStep(
                name, _read_step(exchange), exchange.request_id
            ),
            OK,
        )

    async def publish(self, exchange: web.Exchange) -> None:
        """Publishes a new weight version of the trainer's model."""
        await self._propose(exchange, self._build_publish, OK)

    async def fetch(self, exchange: web.Exchange) -> None:
        """Sends the batch of a step.

        Waits up to `wait_s` for an incomplete batch, then responds with the
        number of missing samples.
        """
        admitted = await self._admit(exchange)
        if isinstance(admitted, result.Failure):
            exchange.refuse(admitted.failure())
            return
        request = admitted.unwrap()
        try:
            fetch_request = self._build_fetch(exchange, request)
        except RequestFieldError as exc:
            exchange.refuse(_refuse_bad_request(str(exc)))
            return
        with self._waits.waiting(fetch_request.trainer) as end_wait:
            sink = _BatchSink(exchange, end_wait)
            ended = await self._batches.fetch(
                fetch_request, sink, request.deadline
            )
        match ended:
            case _batches.FetchDone():
                exchange.finish()
            case _batches.FetchPending(missing=missing):
                exchange.respond(
                    NO_CONTENT,
                    b"",
                    headers=[(b"x-samples-missing", str(missing).encode())],
                )
            case _batches.FetchRefused():
                exchange.refuse(ended.to_refusal())

    def _build_fetch(
        self, exchange: web.Exchange, request: _TrainerRequest
    ) -> _batches.FetchRequest:
        wait_s = min(_read_wait_s(exchange), MAX_FETCH_WAIT_S)
        now = self._clock.now()
        wait_s = max(0.0, min(wait_s, request.deadline - now))
        newest = exchange.query("newest_version") or "0"
        return _batches.FetchRequest(
            trainer=request.trainer.name,
            step=_read_step(exchange),
            newest_version=_parse_digits(newest, "newest_version"),
            wait_ms=int(wait_s * _deadlines.MILLISECONDS_PER_S),
        )

    def _build_submit(
        self, request: _TrainerRequest, name: base.TrainerId
    ) -> rollout.SubmitGroup:
        document = request.document
        trainer = request.trainer
        prompt = document.get("prompt")
        if not isinstance(prompt, str):
            raise RequestFieldError("Field prompt must be a string.")
        generation: dict[str, typing.Any] = {
            field: document[field]
            for field in ("temperature", "top_p", "stop")
            if field in document
        }
        generation["prompt"] = prompt
        requested_tokens = _read_integer(document, "max_tokens", default=0)
        if requested_tokens:
            generation["max_tokens"] = requested_tokens
        return rollout.SubmitGroup(
            trainer=name,
            step=_read_integer(document, "step"),
            group=_read_integer(document, "group"),
            request_id=str(document.get("request_id", "")),
            model=trainer.model,
            prompt=json.dumps(generation, sort_keys=True).encode(),
            samples=trainer.samples_per_group,
            groups_in_step=trainer.groups_per_step,
            staleness_bound=self._staleness_bound(trainer),
            spare_samples=trainer.over_sampling,
            max_tokens=self._max_tokens(trainer),
        )

    def _max_tokens(self, trainer: control.Trainer) -> int:
        declared = self._declared_model(trainer)
        return declared.max_tokens if declared else 0

    def _build_publish(
        self, request: _TrainerRequest, name: base.TrainerId
    ) -> rollout.PublishVersion:
        document = request.document
        version = _read_integer(document, "version")
        if version < 1:
            raise RequestFieldError("Field version must be at least 1.")
        return rollout.PublishVersion(
            model=request.trainer.model,
            version=base.WeightVersion(version),
            trainer=name,
            location=str(document.get("location", "")),
            size_bytes=_read_integer(document, "size_bytes", default=0),
            base_model=self._base_model(request),
        )

    def _base_model(self, request: _TrainerRequest) -> base.ModelName | None:
        """Returns the base model of an adapter; None for full weights.

        Raises:
            RequestFieldError: The field names no other declared model.
        """
        name = request.document.get("base_model")
        if name is None:
            return None
        view = self._admission.authenticator.view
        is_declared = isinstance(name, str) and isinstance(
            view.get(control.Kind.MODEL, name), control.Model
        )
        if not is_declared or name == request.trainer.model:
            raise RequestFieldError(
                "Field base_model must be another declared model."
            )
        return base.ModelName(str(name))

    def _staleness_bound(self, trainer: control.Trainer) -> int:
        declared = self._declared_model(trainer)
        return declared.staleness_bound if declared else 0

    def _declared_model(self, trainer: control.Trainer) -> control.Model | None:
        view = self._admission.authenticator.view
        item = view.get(control.Kind.MODEL, trainer.model)
        return item if isinstance(item, control.Model) else None

    async def _propose(
        self,
        exchange: web.Exchange,
        build_command: typing.Callable[
            [_TrainerRequest, base.TrainerId], rollout.LedgerCommand
        ],
        status: int,
    ) -> None:
        admitted = await self._admit(exchange)
        if isinstance(admitted, result.Failure):
            exchange.refuse(admitted.failure())
            return
        request = admitted.unwrap()
        try:
            command = build_command(request, request.trainer.name)
        except RequestFieldError as exc:
            exchange.refuse(_refuse_bad_request(str(exc)))
            return
        reply = await self._plane.propose_rollout(command, request.deadline)
        if reply is None:
            exchange.refuse(_refuse_uncommitted())
        elif isinstance(reply, rollout.LedgerRefused):
            exchange.refuse(_to_refusal(reply))
        else:
            exchange.respond_json(status, _to_document(reply))

    async def _admit(
        self, exchange: web.Exchange
    ) -> result.Result[_TrainerRequest, base.Refusal]:
        parsed_deadline = _deadlines.read_deadline(exchange, self._clock.now())
        if isinstance(parsed_deadline, result.Failure):
            return parsed_deadline
        deadline = parsed_deadline.unwrap()
        authenticated = await self._admission.authenticate(exchange, deadline)
        if isinstance(authenticated, result.Failure):
            return authenticated
        name = exchange.parameters["trainer"]
        view = self._admission.authenticator.view
        trainer = view.get(control.Kind.TRAINER, name)
        if not isinstance(trainer, control.Trainer):
            return result.Failure(
                _refuse_not_run(
                    base.RefusalReason.NOT_FOUND,
                    f"Trainer {name!r} is not declared.",
                )
            )
        if trainer.account != authenticated.unwrap().account:
            return result.Failure(
                _refuse_not_run(
                    base.RefusalReason.FORBIDDEN,
                    "The trainer belongs to another client account.",
                )
            )
        document = _read_json_object(exchange)
        if document is None:
            return result.Failure(
                _refuse_bad_request("The body must be a JSON object.")
            )
        return result.Success(_TrainerRequest(trainer, deadline, document))


class _BatchSink:
    """Streams a batch to the trainer as it arrives."""

    def __init__(
        self,
        exchange: web.Exchange,
        end_wait: typing.Callable[[], None],
    ) -> None:
        self._exchange = exchange
        self._end_wait = end_wait

    async def write(self, data: bytes) -> None:
        self._end_wait()
        if not self._exchange.has_started:
            self._exchange.start(OK, [(b"content-type", b"application/json")])
        await self._exchange.write(data)


def _read_json_object(exchange: web.Exchange) -> dict[str, typing.Any] | None:
    if not exchange.body:
        return {}
    try:
        document = exchange.json()
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _read_integer(
    document: dict[str, typing.Any], name: str, default: int | None = None
) -> int:
    value = document.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool):
        raise RequestFieldError(f"Field {name} must be an integer.")
    if not 0 <= value <= MAX_INTEGER:
        raise RequestFieldError(f"Field {name} is out of range.")
    return value


def _parse_digits(text: str, name: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > len("9" * 15):
        raise RequestFieldError(
            f"{name} must be an integer of at most 15 digits."
        )
    return int(text)


def _read_step(exchange: web.Exchange) -> int:
    return _parse_digits(exchange.parameters["step"], "Step")


def _read_wait_s(exchange: web.Exchange) -> float:
    text = exchange.query("wait_s") or "0"
    return float(_parse_digits(text, "wait_s"))


def _to_document(reply: rollout.LedgerReply) -> dict[str, typing.Any]:
    fields = attrs.asdict(reply, value_serializer=_serialize_value)
    return {"result": type(reply).__name__, **fields}


def _serialize_value(
    _instance: object, _field: object, value: typing.Any
) -> typing.Any:
    return value.hex() if isinstance(value, bytes) else value


def _to_refusal(reply: rollout.LedgerRefused) -> base.Refusal:
    reason = _REASON_BY_LEDGER_REFUSAL.get(
        reply.reason, base.RefusalReason.BAD_REQUEST
    )
    return _refuse_not_run(reason, reply.detail)


def _refuse_not_run(reason: base.RefusalReason, detail: str) -> base.Refusal:
    return base.Refusal(reason, base.Outcome.NOT_RUN, detail)


def _refuse_bad_request(detail: str) -> base.Refusal:
    return _refuse_not_run(base.RefusalReason.BAD_REQUEST, detail)


def _refuse_uncommitted() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.NO_LEADER,
        base.Outcome.MAY_HAVE_RUN,
        "The command was not confirmed before the deadline; send it again"
        " unchanged.",
        retry_after=1.0,
    )
