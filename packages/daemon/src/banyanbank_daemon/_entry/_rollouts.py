"""Serves trainers: submit, fetch, acknowledge, publish."""

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
MAX_WAIT_S = 60.0
MAX_NUMBER = 2**53

_REFUSALS = {
    rollout.LedgerRefusal.CONFLICT: base.RefusalReason.CONFLICT,
    rollout.LedgerRefusal.UNKNOWN: base.RefusalReason.NOT_FOUND,
    rollout.LedgerRefusal.STEP_DONE: base.RefusalReason.CONFLICT,
    rollout.LedgerRefusal.WRONG_BATCH: base.RefusalReason.CONFLICT,
    rollout.LedgerRefusal.NOT_STALE: base.RefusalReason.CONFLICT,
    rollout.LedgerRefusal.TOO_MANY_STEPS: base.RefusalReason.OVERLOADED,
}


@attrs.frozen
class _Caller:
    """A trainer's request that may go on."""

    trainer: control.Trainer
    """Declaration of the trainer."""
    deadline: float
    """When to give up, on the monotonic clock."""
    document: dict[str, typing.Any]
    """Body as JSON; empty when there is none."""


class BodyError(ValueError):
    """A field of a body is missing or out of its range."""


class RolloutCalls:
    """Serves the calls of trainers.

    Args:
        clock: Clock that deadlines are told on.
        admission: Authenticates callers.
        plane: Way to the sample ledger.
        batches: Fetches batches from the leader.
        waits: Counts the time in which trainers wait.
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
        """Takes a group of samples to generate."""
        await self._command(exchange, self._submit_of, ACCEPTED)

    async def acknowledge(self, exchange: web.Exchange) -> None:
        """Takes the acknowledgement of a batch."""
        await self._command(
            exchange,
            lambda _caller, name: rollout.AcknowledgeBatch(
                name, exchange.parameters["batch"]
            ),
            OK,
        )

    async def reject(self, exchange: web.Exchange) -> None:
        """Takes a batch back that was never used and became stale."""
        await self._command(
            exchange,
            lambda caller, name: rollout.RejectBatch(
                name,
                exchange.parameters["batch"],
                base.WeightVersion(_number(caller.document, "newest_version")),
            ),
            OK,
        )

    async def cancel(self, exchange: web.Exchange) -> None:
        """Drops a step."""
        await self._command(
            exchange,
            lambda _caller, name: rollout.CancelStep(
                name, _step(exchange), exchange.request_id
            ),
            OK,
        )

    async def publish(self, exchange: web.Exchange) -> None:
        """Takes the announcement of new weights."""
        await self._command(exchange, self._publish_of, OK)

    async def fetch(self, exchange: web.Exchange) -> None:
        """Hands out the batch of a step; waits while it is not whole."""
        admitted = await self._admit(exchange)
        if isinstance(admitted, result.Failure):
            exchange.refuse(admitted.failure())
            return
        caller = admitted.unwrap()
        try:
            req = self._fetch_of(exchange, caller)
        except BodyError as exc:
            exchange.refuse(_bad(str(exc)))
            return
        with self._waits.waiting(req.trainer) as end_wait:
            sink = _BatchSink(exchange, end_wait)
            ended = await self._batches.fetch(req, sink, caller.deadline)
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

    def _fetch_of(
        self, exchange: web.Exchange, caller: _Caller
    ) -> _batches.FetchRequest:
        wait_s = min(_wait(exchange), MAX_WAIT_S)
        now = self._clock.now()
        wait_s = max(0.0, min(wait_s, caller.deadline - now))
        newest = exchange.query("newest_version") or "0"
        return _batches.FetchRequest(
            trainer=caller.trainer.name,
            step=_step(exchange),
            newest_version=_digits(newest, "newest_version"),
            wait_ms=int(wait_s * _deadlines.MILLISECONDS),
        )

    def _submit_of(
        self, caller: _Caller, name: base.TrainerId
    ) -> rollout.SubmitGroup:
        document = caller.document
        trainer = caller.trainer
        prompt = document.get("prompt")
        if not isinstance(prompt, str):
            raise BodyError("Field prompt must be a string.")
        call: dict[str, typing.Any] = {
            field: document[field]
            for field in ("temperature", "top_p", "stop")
            if field in document
        }
        call["prompt"] = prompt
        asked = _number(document, "max_tokens", default=0)
        if asked:
            call["max_tokens"] = asked
        return rollout.SubmitGroup(
            trainer=name,
            step=_number(document, "step"),
            group=_number(document, "group"),
            request_id=str(document.get("request_id", "")),
            model=trainer.model,
            prompt=json.dumps(call, sort_keys=True).encode(),
            samples=trainer.samples_per_group,
            groups_in_step=trainer.groups_per_step,
            staleness_bound=self._staleness_bound(trainer),
            spare_samples=trainer.over_sampling,
            max_tokens=self._max_tokens(trainer),
        )

    def _max_tokens(self, trainer: control.Trainer) -> int:
        declared = self._model(trainer)
        return declared.max_tokens if declared else 0

    def _publish_of(
        self, caller: _Caller, name: base.TrainerId
    ) -> rollout.PublishVersion:
        document = caller.document
        version = _number(document, "version")
        if version < 1:
            raise BodyError("Field version must be at least 1.")
        return rollout.PublishVersion(
            model=caller.trainer.model,
            version=base.WeightVersion(version),
            trainer=name,
            location=str(document.get("location", "")),
            size_bytes=_number(document, "size_bytes", default=0),
            base_model=self._base_model(caller),
        )

    def _base_model(self, caller: _Caller) -> base.ModelName | None:
        """Returns the model that an adapter extends; None for whole weights.

        Raises:
            BodyError: It is no other declared model.
        """
        name = caller.document.get("base_model")
        if name is None:
            return None
        view = self._admission.authenticator.view
        is_declared = isinstance(name, str) and isinstance(
            view.get(control.Kind.MODEL, name), control.Model
        )
        if not is_declared or name == caller.trainer.model:
            raise BodyError("Field base_model must be another declared model.")
        return base.ModelName(str(name))

    def _staleness_bound(self, trainer: control.Trainer) -> int:
        declared = self._model(trainer)
        return declared.staleness_bound if declared else 0

    def _model(self, trainer: control.Trainer) -> control.Model | None:
        view = self._admission.authenticator.view
        item = view.get(control.Kind.MODEL, trainer.model)
        return item if isinstance(item, control.Model) else None

    async def _command(
        self,
        exchange: web.Exchange,
        make: typing.Callable[[_Caller, base.TrainerId], rollout.LedgerCommand],
        status: int,
    ) -> None:
        admitted = await self._admit(exchange)
        if isinstance(admitted, result.Failure):
            exchange.refuse(admitted.failure())
            return
        caller = admitted.unwrap()
        try:
            command = make(caller, caller.trainer.name)
        except BodyError as exc:
            exchange.refuse(_bad(str(exc)))
            return
        reply = await self._plane.propose_rollout(command, caller.deadline)
        if reply is None:
            exchange.refuse(_uncommitted())
        elif isinstance(reply, rollout.LedgerRefused):
            exchange.refuse(_refusal_of(reply))
        else:
            exchange.respond_json(status, _document_of(reply))

    async def _admit(
        self, exchange: web.Exchange
    ) -> result.Result[_Caller, base.Refusal]:
        read = _deadlines.read_deadline(exchange, self._clock.now())
        if isinstance(read, result.Failure):
            return read
        deadline = read.unwrap()
        found = await self._admission.authenticate(exchange, deadline)
        if isinstance(found, result.Failure):
            return found
        name = exchange.parameters["trainer"]
        view = self._admission.authenticator.view
        trainer = view.get(control.Kind.TRAINER, name)
        if not isinstance(trainer, control.Trainer):
            return result.Failure(
                _refusal(
                    base.RefusalReason.NOT_FOUND,
                    f"There is no trainer {name!r}.",
                )
            )
        if trainer.account != found.unwrap().account:
            return result.Failure(
                _refusal(
                    base.RefusalReason.FORBIDDEN,
                    "The trainer belongs to another client account.",
                )
            )
        document = _document(exchange)
        if document is None:
            return result.Failure(_bad("The body must be a JSON object."))
        return result.Success(_Caller(trainer, deadline, document))


class _BatchSink:
    """Passes a batch on to the trainer as it arrives."""

    def __init__(
        self,
        exchange: web.Exchange,
        on_first: typing.Callable[[], None],
    ) -> None:
        self._exchange = exchange
        self._on_first = on_first

    async def write(self, data: bytes) -> None:
        self._on_first()
        if not self._exchange.has_started:
            self._exchange.start(OK, [(b"content-type", b"application/json")])
        await self._exchange.write(data)


def _document(exchange: web.Exchange) -> dict[str, typing.Any] | None:
    if not exchange.body:
        return {}
    try:
        document = exchange.json()
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _number(
    document: dict[str, typing.Any], name: str, default: int | None = None
) -> int:
    value = document.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool):
        raise BodyError(f"Field {name} must be a whole number.")
    if not 0 <= value <= MAX_NUMBER:
        raise BodyError(f"Field {name} is out of its range.")
    return value


def _digits(text: str, name: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > len("9" * 15):
        raise BodyError(f"{name} must be a whole number.")
    return int(text)


def _step(exchange: web.Exchange) -> int:
    return _digits(exchange.parameters["step"], "The step")


def _wait(exchange: web.Exchange) -> float:
    text = exchange.query("wait_s") or "0"
    return float(_digits(text, "wait_s"))


def _document_of(reply: rollout.LedgerReply) -> dict[str, typing.Any]:
    fields = attrs.asdict(reply, value_serializer=_plain)
    return {"result": type(reply).__name__, **fields}


def _plain(_instance: object, _field: object, value: typing.Any) -> typing.Any:
    return value.hex() if isinstance(value, bytes) else value


def _refusal_of(reply: rollout.LedgerRefused) -> base.Refusal:
    reason = _REFUSALS.get(reply.reason, base.RefusalReason.BAD_REQUEST)
    return _refusal(reason, reply.detail)


def _refusal(reason: base.RefusalReason, detail: str) -> base.Refusal:
    return base.Refusal(reason, base.Outcome.NOT_RUN, detail)


def _bad(detail: str) -> base.Refusal:
    return _refusal(base.RefusalReason.BAD_REQUEST, detail)


def _uncommitted() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.NO_LEADER,
        base.Outcome.MAY_HAVE_RUN,
        "The command was not confirmed in time; send it again unchanged.",
        retry_after=1.0,
    )
