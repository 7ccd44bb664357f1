"""Passes requests through to plain services."""

import hashlib
import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_dispatch as dispatch
import banyanbank_web as web
from returns import result

from banyanbank_daemon import _figures
from banyanbank_daemon import _fleet
from banyanbank_daemon import _retrying
from banyanbank_daemon import _usage
from banyanbank_daemon._entry import _active
from banyanbank_daemon._entry import _admission
from banyanbank_daemon._entry import _deadlines
from banyanbank_daemon._entry import _headers
from banyanbank_daemon._entry import _intents

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
IDEMPOTENT_METHODS = SAFE_METHODS | {"PUT", "DELETE"}


@attrs.frozen
class ServiceCall:
    """A request to a plain service that may go out."""

    request_id: base.RequestId
    """Id told to the caller and the endpoint."""
    route: control.Route
    """Route that it came in on."""
    account: base.AccountId
    """Client account; empty on a route open to all."""
    key_id: base.KeyId
    """Key; empty on a route open to all."""
    method: str
    """HTTP method."""
    target: str
    """Path with the query that may pass."""
    headers: tuple[tuple[str, str], ...]
    """Headers that may pass."""
    body: bytes
    """Body."""
    deadline: float
    """When to give up, on the monotonic clock."""
    admitted_at: float
    """When it came, on the monotonic clock."""
    idempotency_key: str
    """The caller's `Idempotency-Key`; empty when none came."""

    @property
    def is_idempotent(self) -> bool:
        """Whether running it twice does no harm."""
        if self.route.repeat is control.Repeat.NON_IDEMPOTENT:
            return self.method in SAFE_METHODS
        return self.method in IDEMPOTENT_METHODS

    @property
    def digest(self) -> bytes:
        """Digest that tells it apart under its idempotency key."""
        text = f"{self.method}\0{self.target}\0".encode()
        return hashlib.sha256(text + self.body).digest()


class ServiceCalls:
    """Serves requests on routes to plain services.

    Args:
        reactor: Reactor that carries timers.
        clock: Clock that deadlines are told on.
        admission: Authenticates callers.
        active: Requests in progress.
        fleet: Replicas known.
        router: Chooses among replicas.
        retries: Decides whether a failed attempt is repeated.
        upstream: Client towards replicas.
        intents: Runs what may run at most once.
        usage: Counts whole answers.
        waits: Times answers up to their head.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        admission: _admission.Admission,
        active: _active.ActiveRequests,
        fleet: _fleet.Fleet,
        router: dispatch.Router,
        retries: dispatch.RetryPolicy,
        upstream: web.Upstream,
        intents: _intents.IntentRunner,
        usage: _usage.UsageMeter,
        waits: _figures.AccountWaits,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._admission = admission
        self._active = active
        self._fleet = fleet
        self._router = router
        self._retries = retries
        self._upstream = upstream
        self._intents = intents
        self._usage = usage
        self._waits = waits

    async def serve(self, exchange: web.Exchange) -> None:
        """Serves one request on any path that is not an own route."""
        admitted = await self._admit(exchange)
        if isinstance(admitted, result.Failure):
            exchange.refuse(admitted.failure())
            return
        call = admitted.unwrap()
        refusal = self._active.begin(call.account, call.key_id, exchange)
        if refusal is not None:
            exchange.refuse(refusal)
            return
        try:
            if call.is_idempotent or not call.idempotency_key:
                await self._pass_through(exchange, call)
            else:
                await self._run_at_most_once(exchange, call)
        finally:
            self._active.end(call.account, call.key_id, exchange)

    async def _admit(
        self, exchange: web.Exchange
    ) -> result.Result[ServiceCall, base.Refusal]:
        admitted_at = self._clock.now()
        read = _deadlines.read_deadline(exchange, admitted_at)
        if isinstance(read, result.Failure):
            return read
        deadline = read.unwrap()
        admitted = await self._admission.admit_route(
            exchange, exchange.path, deadline
        )
        if isinstance(admitted, result.Failure):
            return admitted
        admission = admitted.unwrap()
        secret = _admission.bearer_secret(exchange) or ""
        if _headers.holds_secret(
            exchange.body, secret
        ) or _headers.holds_secret(exchange.path.encode(), secret):
            return result.Failure(_key_in_request())
        principal = admission.principal
        return result.Success(
            ServiceCall(
                request_id=exchange.request_id,
                route=admission.route,
                account=principal.account if principal else _NO_ACCOUNT,
                key_id=principal.key_id if principal else _NO_KEY,
                method=exchange.method,
                target=_target_of(exchange, secret),
                headers=tuple(
                    _headers.pass_request_headers(
                        exchange.header_items(), secret
                    )
                ),
                body=exchange.body,
                deadline=deadline,
                admitted_at=admitted_at,
                idempotency_key=exchange.header("idempotency-key"),
            )
        )

    async def _pass_through(
        self, exchange: web.Exchange, call: ServiceCall
    ) -> None:
        opened = await self.open(call)
        if isinstance(opened, result.Failure):
            exchange.refuse(opened.failure())
            return
        self._time(call)
        response = opened.unwrap()
        exchange.on_closed(response.cancel)
        if exchange.has_started or exchange.is_closed:
            response.cancel()
            return
        exchange.start(
            response.status, _headers.pass_answer_headers(response.headers)
        )
        while True:
            chunk = await response.next_chunk()
            if isinstance(chunk, result.Failure):
                # The caller sees a cut connection, never a short answer.
                exchange.abort()
                return
            data = chunk.unwrap()
            if not data:
                break
            await exchange.write(data)
        exchange.finish()
        self._count(call)

    async def _run_at_most_once(
        self, exchange: web.Exchange, call: ServiceCall
    ) -> None:
        ran = await self._intents.run(call, self.open)
        if isinstance(ran, result.Failure):
            exchange.refuse(ran.failure())
            return
        answer = ran.unwrap()
        if not answer.is_replay:
            self._time(call)
            self._count(call)
        headers = _headers.pass_answer_headers(answer.headers)
        if exchange.is_closed or exchange.has_started:
            return
        exchange.start(answer.status, headers)
        await exchange.write(answer.body)
        exchange.finish()

    def _count(self, call: ServiceCall) -> None:
        if call.account:
            self._usage.count_call(call.account)

    def _time(self, call: ServiceCall) -> None:
        if call.account:
            seconds = self._clock.now() - call.admitted_at
            self._waits.granted(call.account, _figures.SERVICE, seconds)

    async def open(
        self, call: ServiceCall
    ) -> result.Result[web.UpstreamResponse, base.Refusal]:
        """Sends a call to a replica, to others where that does no harm.

        Returns:
            The answer once its headers are there, or a refusal that tells
            whether a replica may have run the call.
        """
        series = _retrying.AttemptSeries(
            self._reactor,
            self._clock,
            self._retries,
            call.deadline,
            call.is_idempotent,
        )
        while True:
            endpoint, sent = await self._attempt(
                call, series.number, series.tried
            )
            if isinstance(sent, result.Success):
                return sent
            refusal = sent.failure()
            if not await series.may_repeat(
                endpoint, refusal.outcome, refusal.retry_after
            ):
                return sent

    async def _attempt(
        self,
        call: ServiceCall,
        number: int,
        avoided: frozenset[base.EndpointId],
    ) -> tuple[
        base.EndpointId | None,
        result.Result[web.UpstreamResponse, base.Refusal],
    ]:
        now = self._clock.now()
        query = dispatch.RouteQuery(
            exclude_reclaimable=not call.is_idempotent, avoided=avoided
        )
        candidates = self._fleet.service_candidates(call.route.service)
        chosen = self._router.choose(query, candidates, now)
        if isinstance(chosen, result.Failure):
            return None, chosen
        endpoint = chosen.unwrap().endpoint_id
        url = self._fleet.url_of(endpoint)
        attempt_id = base.RequestId(f"{call.request_id}.{number}")
        self._router.note_sent(attempt_id, endpoint, query, now)
        sent = await self._upstream.send(
            web.UpstreamRequest(
                method=call.method,
                url=f"{url}{call.target}",
                headers=(
                    *call.headers,
                    ("x-request-id", call.request_id),
                    ("x-client-account", call.account),
                ),
                body=call.body,
                deadline=call.deadline,
                is_repeatable=call.is_idempotent,
            )
        )
        is_ok = isinstance(sent, result.Success)
        self._router.note_done(attempt_id, endpoint, is_ok, self._clock.now())
        return endpoint, sent.alt(_refusal_of).bind(
            lambda response: _check_echo(call, response)
        )


_NO_ACCOUNT = base.AccountId("")
_NO_KEY = base.KeyId("")


def _target_of(exchange: web.Exchange, secret: str) -> str:
    path, mark, query = exchange.uri.partition("?")
    if not mark:
        return path
    passed = _headers.pass_query(query, secret)
    return f"{path}?{passed}" if passed else path


def _check_echo(
    call: ServiceCall, response: web.UpstreamResponse
) -> result.Result[web.UpstreamResponse, base.Refusal]:
    echoed = response.header("x-request-id")
    if not echoed or echoed == call.request_id:
        return result.Success(response)
    response.cancel()
    return result.Failure(
        base.Refusal(
            base.RefusalReason.ENDPOINT_FAILED,
            base.Outcome.MAY_HAVE_RUN,
            "The endpoint answered another request.",
        )
    )


def _refusal_of(error: web.UpstreamError) -> base.Refusal:
    reason = base.RefusalReason.ENDPOINT_FAILED
    if error.is_timeout:
        reason = base.RefusalReason.DEADLINE_EXCEEDED
    return base.Refusal(reason, error.outcome, error.detail)


def _key_in_request() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.BAD_REQUEST,
        base.Outcome.NOT_RUN,
        "The path or body holds the key; send it in the Authorization header"
        " only.",
    )
