"""Serves `/v1/chat/completions`, `/v1/completions` and `/v1/models`."""

import json
import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_dispatch as dispatch
import banyanbank_web as web
from returns import result

from banyanbank_daemon import _dispatcher
from banyanbank_daemon import _fleet
from banyanbank_daemon import _jobs
from banyanbank_daemon._entry import _active
from banyanbank_daemon._entry import _admission
from banyanbank_daemon._entry import _deadlines
from banyanbank_daemon._entry import _headers
from banyanbank_daemon._entry import _shapes

EVENT_STREAM_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)
OK = 200


class _StreamSink:
    """Passes a job's events to the caller as server-sent events."""

    def __init__(self, exchange: web.Exchange) -> None:
        self._exchange = exchange

    async def emit(self, chunk: _jobs.JobChunk) -> None:
        try:
            if not self._exchange.has_started:
                self._exchange.start(OK, EVENT_STREAM_HEADERS)
            await self._exchange.write(b"data: " + chunk.data + b"\n\n")
        except web.ExchangeClosed as exc:
            raise _jobs.SinkClosed from exc

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        self._exchange.on_closed(callback)


class _CollectSink:
    """Gathers a job's events into one answer."""

    def __init__(self, exchange: web.Exchange) -> None:
        self._exchange = exchange
        self.collector = _shapes.AnswerCollector()

    async def emit(self, chunk: _jobs.JobChunk) -> None:
        if self._exchange.is_closed:
            raise _jobs.SinkClosed
        self.collector.add(chunk.document)

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        self._exchange.on_closed(callback)


@attrs.frozen
class _Admitted:
    """A model call that may run."""

    principal: control.Principal
    call: _shapes.CompletionCall
    deadline: float


class ModelCalls:
    """Serves model calls of callers.

    Args:
        clock: Clock that deadlines are told on.
        admission: Authenticates callers.
        active: Requests in progress.
        dispatcher: Runs the calls.
        fleet: Engines known.
    """

    def __init__(
        self,
        clock: base.Clock,
        admission: _admission.Admission,
        active: _active.ActiveRequests,
        dispatcher: _dispatcher.Dispatcher,
        fleet: _fleet.Fleet,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._active = active
        self._dispatcher = dispatcher
        self._fleet = fleet

    async def chat_completions(self, exchange: web.Exchange) -> None:
        """Serves the chat shape."""
        await self._serve(exchange, is_chat=True)

    async def completions(self, exchange: web.Exchange) -> None:
        """Serves the plain shape."""
        await self._serve(exchange, is_chat=False)

    async def models(self, exchange: web.Exchange) -> None:
        """Lists the models that the caller may use."""
        deadline = self._clock.now() + _deadlines.DEFAULT_S
        found = await self._admission.authenticate(exchange, deadline)
        if isinstance(found, result.Failure):
            exchange.refuse(found.failure())
            return
        principal = found.unwrap()
        authenticator = self._admission.authenticator
        served = self._fleet.models()
        names = sorted(
            ref.id
            for ref in authenticator.view.items
            if ref.kind == control.Kind.MODEL.value
            and authenticator.authorise_model(principal, ref.id) is None
        )
        exchange.respond_json(
            OK,
            {
                "object": "list",
                "data": [
                    {"id": name, "object": "model", "served": name in served}
                    for name in names
                ],
            },
        )

    async def _serve(self, exchange: web.Exchange, is_chat: bool) -> None:
        admitted = await self._admit(exchange, is_chat)
        if isinstance(admitted, result.Failure):
            exchange.refuse(admitted.failure())
            return
        call = admitted.unwrap()
        who = call.principal
        refusal = self._active.begin(who.account, who.key_id, exchange)
        if refusal is not None:
            exchange.refuse(refusal)
            return
        try:
            await self._run(exchange, call)
        finally:
            self._active.end(who.account, who.key_id, exchange)

    async def _admit(
        self, exchange: web.Exchange, is_chat: bool
    ) -> result.Result[_Admitted, base.Refusal]:
        deadline = _deadlines.read_deadline(exchange, self._clock.now())
        if isinstance(deadline, result.Failure):
            return deadline
        found = await self._admission.authenticate(exchange, deadline.unwrap())
        if isinstance(found, result.Failure):
            return found
        principal = found.unwrap()
        authenticator = self._admission.authenticator
        secret = _admission.bearer_secret(exchange) or ""
        if _headers.holds_secret(exchange.body, secret):
            return result.Failure(_key_in_body())
        parsed = _shapes.parse_call(exchange.body, is_chat, _shapes.MOST_TOKENS)
        if isinstance(parsed, result.Failure):
            return parsed
        call = parsed.unwrap()
        refusal = authenticator.authorise_model(principal, call.model)
        if refusal is not None:
            return result.Failure(refusal)
        declared = authenticator.view.get(control.Kind.MODEL, call.model)
        if isinstance(declared, control.Model):
            call = call.with_limit(declared.max_tokens)
        return result.Success(_Admitted(principal, call, deadline.unwrap()))

    async def _run(self, exchange: web.Exchange, admitted: _Admitted) -> None:
        call = admitted.call
        view = self._admission.authenticator.view
        req = _dispatcher.ModelRequest(
            request_id=exchange.request_id,
            account=admitted.principal.account,
            key_id=admitted.principal.key_id,
            revision=view.revision,
            kind=dispatch.WorkKind.INTERACTIVE,
            weight=view.weight_of(admitted.principal.account),
            model=call.model,
            path=call.path,
            body=call.engine_body(),
            cost_tokens=call.cost_tokens,
            blocks=_jobs.prompt_blocks(call.prompt),
            deadline=admitted.deadline,
        )
        if call.is_stream:
            await self._run_stream(exchange, req)
        else:
            await self._run_whole(exchange, req, call)

    async def _run_stream(
        self, exchange: web.Exchange, req: _dispatcher.ModelRequest
    ) -> None:
        ended = await self._dispatcher.run(req, _StreamSink(exchange))
        if isinstance(ended, result.Failure):
            exchange.refuse(ended.failure().to_refusal())
            return
        await exchange.write(b"data: [DONE]\n\n")
        exchange.finish()

    async def _run_whole(
        self,
        exchange: web.Exchange,
        req: _dispatcher.ModelRequest,
        call: _shapes.CompletionCall,
    ) -> None:
        sink = _CollectSink(exchange)
        ended = await self._dispatcher.run(req, sink)
        if isinstance(ended, result.Failure):
            exchange.refuse(ended.failure().to_refusal())
            return
        answer = sink.collector.answer(
            call, exchange.request_id, ended.unwrap()
        )
        exchange.respond(OK, json.dumps(answer).encode())


def _key_in_body() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.BAD_REQUEST,
        base.Outcome.NOT_RUN,
        "The body holds the key; send it in the Authorization header only.",
    )
