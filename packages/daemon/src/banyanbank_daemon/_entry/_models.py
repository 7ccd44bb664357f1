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
from banyanbank_daemon._entry import _active_requests
from banyanbank_daemon._entry import _admission
from banyanbank_daemon._entry import _completions
from banyanbank_daemon._entry import _deadlines
from banyanbank_daemon._entry import _headers

EVENT_STREAM_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)
OK = 200


class _EventStreamSink:
    """Sends a job's events to the caller as server-sent events."""

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


class _CollectingSink:
    """Collects a job's events into one response."""

    def __init__(self, exchange: web.Exchange) -> None:
        self._exchange = exchange
        self.collector = _completions.CompletionCollector()

    async def emit(self, chunk: _jobs.JobChunk) -> None:
        if self._exchange.is_closed:
            raise _jobs.SinkClosed
        self.collector.add(chunk.document)

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        self._exchange.on_closed(callback)


@attrs.frozen
class _AdmittedCall:
    """A model call that passed authentication and validation."""

    principal: control.Principal
    call: _completions.CompletionCall
    deadline: float


class ModelCalls:
    """Handlers of the OpenAI-compatible routes.

    Args:
        clock: Monotonic clock of the deadlines.
        admission: Authenticates callers.
        active_requests: Requests in flight at this instance.
        dispatcher: Runs the calls on engines.
        fleet: Known engines.
    """

    def __init__(
        self,
        clock: base.Clock,
        admission: _admission.Admission,
        active_requests: _active_requests.ActiveRequests,
        dispatcher: _dispatcher.Dispatcher,
        fleet: _fleet.Fleet,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._active_requests = active_requests
        self._dispatcher = dispatcher
        self._fleet = fleet

    async def chat_completions(self, exchange: web.Exchange) -> None:
        """Handles `POST /v1/chat/completions`."""
        await self._serve(exchange, is_chat=True)

    async def completions(self, exchange: web.Exchange) -> None:
        """Handles `POST /v1/completions`."""
        await self._serve(exchange, is_chat=False)

    async def models(self, exchange: web.Exchange) -> None:
        """Handles `GET /v1/models`: lists the models open to the caller."""
        deadline = self._clock.now() + _deadlines.DEFAULT_TIMEOUT_S
        authenticated = await self._admission.authenticate(exchange, deadline)
        if isinstance(authenticated, result.Failure):
            exchange.refuse(authenticated.failure())
            return
        principal = authenticated.unwrap()
        authenticator = self._admission.authenticator
        served_models = self._fleet.models()
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
                    {
                        "id": name,
                        "object": "model",
                        "served": name in served_models,
                    }
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
        principal = call.principal
        refusal = self._active_requests.begin(
            principal.account, principal.key_id, exchange
        )
        if refusal is not None:
            exchange.refuse(refusal)
            return
        try:
            await self._run(exchange, call)
        finally:
            self._active_requests.end(
                principal.account, principal.key_id, exchange
            )

    async def _admit(
        self, exchange: web.Exchange, is_chat: bool
    ) -> result.Result[_AdmittedCall, base.Refusal]:
        deadline = _deadlines.read_deadline(exchange, self._clock.now())
        if isinstance(deadline, result.Failure):
            return deadline
        authenticated = await self._admission.authenticate(
            exchange, deadline.unwrap()
        )
        if isinstance(authenticated, result.Failure):
            return authenticated
        principal = authenticated.unwrap()
        authenticator = self._admission.authenticator
        secret = _admission.bearer_secret(exchange) or ""
        if _headers.contains_secret(exchange.body, secret):
            return result.Failure(_refuse_key_in_body())
        parsed = _completions.parse_call(
            exchange.body, is_chat, _completions.MAX_TOKENS_LIMIT
        )
        if isinstance(parsed, result.Failure):
            return parsed
        call = parsed.unwrap()
        refusal = authenticator.authorise_model(principal, call.model)
        if refusal is not None:
            return result.Failure(refusal)
        declared = authenticator.view.get(control.Kind.MODEL, call.model)
        if isinstance(declared, control.Model):
            call = call.with_max_tokens_limit(declared.max_tokens)
        return result.Success(_AdmittedCall(principal, call, deadline.unwrap()))

    async def _run(
        self, exchange: web.Exchange, admitted: _AdmittedCall
    ) -> None:
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
            body=call.build_engine_body(),
            cost_tokens=call.cost_tokens,
            blocks=_jobs.prompt_blocks(call.prompt),
            deadline=admitted.deadline,
        )
        if call.is_stream:
            await self._run_stream(exchange, req)
        else:
            await self._run_buffered(exchange, req, call)

    async def _run_stream(
        self, exchange: web.Exchange, req: _dispatcher.ModelRequest
    ) -> None:
        ended = await self._dispatcher.run(req, _EventStreamSink(exchange))
        if isinstance(ended, result.Failure):
            exchange.refuse(ended.failure().to_refusal())
            return
        await exchange.write(b"data: [DONE]\n\n")
        exchange.finish()

    async def _run_buffered(
        self,
        exchange: web.Exchange,
        req: _dispatcher.ModelRequest,
        call: _completions.CompletionCall,
    ) -> None:
        sink = _CollectingSink(exchange)
        ended = await self._dispatcher.run(req, sink)
        if isinstance(ended, result.Failure):
            exchange.refuse(ended.failure().to_refusal())
            return
        answer = sink.collector.answer(
            call, exchange.request_id, ended.unwrap()
        )
        exchange.respond(OK, json.dumps(answer).encode())


def _refuse_key_in_body() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.BAD_REQUEST,
        base.Outcome.NOT_RUN,
        "The body contains the key; send it in the Authorization header only.",
    )
