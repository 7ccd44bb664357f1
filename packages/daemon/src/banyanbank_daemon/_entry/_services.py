"""Forwards requests to the declared plain services."""

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
from banyanbank_daemon._entry import _active_requests
from banyanbank_daemon._entry import _admission
from banyanbank_daemon._entry import _deadlines
from banyanbank_daemon._entry import _headers
from banyanbank_daemon._entry import _intents

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
IDEMPOTENT_METHODS = SAFE_METHODS | {"PUT", "DELETE"}


@attrs.frozen
class ServiceCall:
    """A request to a plain service that may be sent to an endpoint."""

    request_id: base.RequestId
    """Request id, sent to the caller and the endpoint."""
    route: control.Route
    """Declared route that the path matched."""
    account: base.AccountId
    """Client account; empty on a public route."""
    key_id: base.KeyId
    """Id of the API key; empty on a public route."""
    method: str
    """HTTP method."""
    target: str
    """Path with the filtered query."""
    headers: tuple[tuple[str, str], ...]
    """Filtered request headers."""
    body: bytes
    """Request body."""
    deadline: float
    """Deadline in monotonic seconds."""
    admitted_at: float
    """Time of arrival in monotonic seconds."""
    idempotency_key: str
    """The caller's `Idempotency-Key`; empty when absent."""

    @property
    def is_idempotent(self) -> bool:
        """Whether repeating the request is safe, by its route and method."""
        if self.route.repeat is control.Repeat.NON_IDEMPOTENT:
            return self.method in SAFE_METHODS
        return self.method in IDEMPOTENT_METHODS

    @property
    def digest(self) -> bytes:
        """Digest that detects reuse of the idempotency key."""
        text = f"{self.method}\0{self.target}\0".encode()
        return hashlib.sha256(text + self.body).digest()


class ServiceCalls:
    """Handler of requests to plain services.

    Args:
        reactor: Twisted reactor for timers.
        clock: Monotonic clock of the deadlines.
        admission: Authenticates callers.
        active_requests: Requests in flight at this instance.
        fleet: Known endpoints.
        router: Chooses an endpoint.
        retries: Decides whether a failed attempt is retried.
        upstream: HTTP client for endpoints.
        intents: Runs non-idempotent requests at most once.
        usage: Counts complete responses by client account.
        waits: Records the time from arrival to the response headers.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        admission: _admission.Admission,
        active_requests: _active_requests.ActiveRequests,
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
        self._active_requests = active_requests
        self._fleet = fleet
        self._router = router
        self._retries = retries
        self._upstream = upstream
        self._intents = intents
        self._usage = usage
        self._waits = waits

    async def serve(self, exchange: web.Exchange) -> None:
        """Handles a request on a path that matches no built-in route."""
        admitted = await self._admit(exchange)
        if isinstance(admitted, result.Failure):
            exchange.refuse(admitted.failure())
            return
        call = admitted.unwrap()
        refusal = self._active_requests.begin(
            call.account, call.key_id, exchange, is_unsent=True
        )
        if refusal is not None:
            exchange.refuse(refusal)
            return
        try:
            if call.is_idempotent or not call.idempotency_key:
                await self._forward(exchange, call)
            else:
                await self._run_at_most_once(exchange, call)
        finally:
            self._active_requests.end(call.account, call.key_id, exchange)

    async def _admit(
        self, exchange: web.Exchange
    ) -> result.Result[ServiceCall, base.Refusal]:
        admitted_at = self._clock.now()
        parsed_deadline = _deadlines.read_deadline(exchange, admitted_at)
        if isinstance(parsed_deadline, result.Failure):
            return parsed_deadline
        deadline = parsed_deadline.unwrap()
        admitted = await self._admission.admit_route(
            exchange, exchange.path, deadline
        )
        if isinstance(admitted, result.Failure):
            return admitted
        admission = admitted.unwrap()
        secret = _admission.bearer_secret(exchange) or ""
        if _headers.contains_secret(
            exchange.body, secret
        ) or _headers.contains_secret(exchange.path.encode(), secret):
            return result.Failure(_refuse_key_in_request())
        principal = admission.principal
        return result.Success(
            ServiceCall(
                request_id=exchange.request_id,
                route=admission.route,
                account=principal.account if principal else _NO_ACCOUNT,
                key_id=principal.key_id if principal else _NO_KEY,
                method=exchange.method,
                target=_build_target(exchange, secret),
                headers=tuple(
                    _headers.filter_request_headers(
                        exchange.header_items(), secret
                    )
                ),
                body=exchange.body,
                deadline=deadline,
                admitted_at=admitted_at,
                idempotency_key=exchange.header("idempotency-key"),
            )
        )

    async def _forward(self, exchange: web.Exchange, call: ServiceCall) -> None:
        opened = await self.open(call, exchange)
        if isinstance(opened, result.Failure):
            exchange.refuse(opened.failure())
            return
        self._record_wait(call)
        response = opened.unwrap()
        exchange.on_closed(response.cancel)
        if exchange.has_started or exchange.is_closed:
            response.cancel()
            return
        exchange.start(
            response.status, _headers.filter_response_headers(response.headers)
        )
        while True:
            chunk = await response.next_chunk()
            if isinstance(chunk, result.Failure):
                # Aborting the connection keeps the caller from taking a
                # truncated response for a complete one.
                exchange.abort()
                return
            data = chunk.unwrap()
            if not data:
                break
            await exchange.write(data)
        exchange.finish()
        self._count_usage(call)

    async def _run_at_most_once(
        self, exchange: web.Exchange, call: ServiceCall
    ) -> None:
        run_result = await self._intents.run(
            call,
            lambda begun: self.open(begun, exchange),
            _BookingProgress(self._active_requests, exchange),
        )
        if isinstance(run_result, result.Failure):
            exchange.refuse(run_result.failure())
            return
        answer = run_result.unwrap()
        if not answer.is_replay:
            self._record_wait(call)
            self._count_usage(call)
        headers = _headers.filter_response_headers(answer.headers)
        if exchange.is_closed or exchange.has_started:
            return
        exchange.start(answer.status, headers)
        await exchange.write(answer.body)
        exchange.finish()

    def _count_usage(self, call: ServiceCall) -> None:
        if call.account:
            self._usage.count_call(call.account)

    def _record_wait(self, call: ServiceCall) -> None:
        if call.account:
            seconds = self._clock.now() - call.admitted_at
            self._waits.granted(call.account, _figures.SERVICE, seconds)

    async def open(
        self, call: ServiceCall, exchange: web.Exchange | None = None
    ) -> result.Result[web.UpstreamResponse, base.Refusal]:
        """Sends a call to an endpoint; retries on others if that is safe.

        Args:
            call: The call.
            exchange: The caller's request, which is not sent once it has been
                terminated; None for a call of this instance.

        Returns:
            The response once its headers have arrived, or a refusal whose
            outcome says whether an endpoint may have run the call.
        """
        series = _retrying.AttemptSeries(
            self._reactor,
            self._clock,
            self._retries,
            call.deadline,
            call.is_idempotent,
        )
        run_before: base.Refusal | None = None
        while True:
            if exchange and not self._active_requests.may_send(exchange):
                return result.Failure(run_before or _refuse_terminated())
            endpoint, sent = await self._attempt(
                call, series.number, series.tried
            )
            if isinstance(sent, result.Success):
                return sent
            refusal = sent.failure()
            if refusal.outcome is not base.Outcome.NOT_RUN:
                run_before = refusal
            elif exchange and run_before is None:
                self._active_requests.note_not_run(exchange)
            is_repeated = await series.may_repeat(
                endpoint, refusal.outcome, refusal.retry_after
            )
            if not is_repeated:
                # An endpoint may have run an earlier attempt.
                return result.Failure(run_before or refusal)

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
        is_success = isinstance(sent, result.Success)
        self._router.note_done(
            attempt_id, endpoint, is_success, self._clock.now()
        )
        return endpoint, sent.alt(_to_refusal).bind(
            lambda response: _check_echoed_request_id(call, response)
        )


@attrs.frozen
class _BookingProgress:
    """Notes how far a request that must not run twice has come."""

    _active_requests: _active_requests.ActiveRequests
    """Requests in flight at this instance."""
    _exchange: web.Exchange
    """The request and its response."""

    def note_earlier_run(self) -> None:
        self._active_requests.note_earlier_run(self._exchange)

    def note_answered(self) -> None:
        self._active_requests.note_answered(self._exchange)


_NO_ACCOUNT = base.AccountId("")
_NO_KEY = base.KeyId("")


def _build_target(exchange: web.Exchange, secret: str) -> str:
    path, separator, query = exchange.uri.partition("?")
    if not separator:
        return path
    filtered_query = _headers.filter_query(query, secret)
    return f"{path}?{filtered_query}" if filtered_query else path


def _check_echoed_request_id(
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
            "The endpoint returned the id of another request.",
        )
    )


def _to_refusal(error: web.UpstreamError) -> base.Refusal:
    reason = base.RefusalReason.ENDPOINT_FAILED
    if error.is_timeout:
        reason = base.RefusalReason.DEADLINE_EXCEEDED
    return base.Refusal(reason, error.outcome, error.detail)


def _refuse_terminated() -> base.Refusal:
    # The caller has been answered; this only ends the work.
    return base.Refusal(
        base.RefusalReason.KEY_WITHDRAWN,
        base.Outcome.NOT_RUN,
        "The request was terminated before it was sent.",
    )


def _refuse_key_in_request() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.BAD_REQUEST,
        base.Outcome.NOT_RUN,
        "The path or body contains the key; send it in the Authorization header"
        " only.",
    )
