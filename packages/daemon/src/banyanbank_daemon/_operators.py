"""Serves operators: configuration, keys, status, metrics, time line."""

import hmac
import json
import secrets
import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
from returns import result
from twisted.internet import task

from banyanbank_daemon import _control_plane
from banyanbank_daemon import _http
from banyanbank_daemon import _metrics
from banyanbank_daemon import _timeline_calls
from banyanbank_daemon._entry import _admission

OK = 200
BAD_REQUEST = 400
COMMIT_S = 10.0
GATHER_S = 10.0
SECRET_BYTES = 32
MIN_SECRET_CHARS = 32
KEY_SUFFIX_CHARS = 8
TEXT_SUFFIXES = (".yaml", ".yml")
OPERATOR = "operator"

Parsed = result.Result[control.Declarations, control.SheetErrors]
StatusSource = typing.Callable[[], dict[str, typing.Any]]
Peers = typing.Callable[[], list[base.InstanceId]]
Drain = typing.Callable[
    [base.InstanceId], typing.Coroutine[typing.Any, typing.Any, bool]
]


class OperatorCalls:
    """Serves the operator interface.

    Args:
        clock: Clock that deadlines are told on.
        token: Operator credential; empty refuses everybody.
        plane: Way to the replicated log.
        authenticator: Holds the configuration.
        metrics: Metrics of this instance.
        status: Returns the status document of this instance.
        timeline: Gathers time line events.
        peers: Returns all instances known.
        drain: Asks an instance to shut down gracefully.
    """

    def __init__(
        self,
        clock: base.Clock,
        token: str,
        plane: _control_plane.ControlPlane,
        authenticator: control.Authenticator,
        metrics: _metrics.MetricsRegistry,
        status: StatusSource,
        timeline: _timeline_calls.TimelineCalls,
        peers: Peers,
        drain: Drain,
    ) -> None:
        self._clock = clock
        self._token = token
        self._plane = plane
        self._authenticator = authenticator
        self._metrics = metrics
        self._status = status
        self._timeline = timeline
        self._peers = peers
        self._drain = drain

    def routes(self) -> list[_http.Route]:
        """Returns the routes of the operator listener."""
        return [
            _http.Route("GET", "/metrics", self.metrics),
            _http.Route("GET", "/operator/config", self.config),
            _http.Route("POST", "/operator/apply", self.apply),
            _http.Route("GET", "/operator/keys", self.list_keys),
            _http.Route("POST", "/operator/keys", self.create_key),
            _http.Route(
                "POST", "/operator/keys/{key}/withdraw", self.withdraw_key
            ),
            _http.Route("GET", "/operator/status", self.status),
            _http.Route("GET", "/operator/timeline", self.timeline),
            _http.Route("POST", "/operator/drain/{instance}", self.drain),
        ]

    async def metrics(self, exchange: _http.Exchange) -> None:
        """Shows the metrics in the text exposition format."""
        lines: list[str] = []
        # Quantiles take time; the loop turns between the lines.
        await task.cooperate(_gather(self._metrics.lines(), lines)).whenDone()
        text = "".join(lines).encode()
        exchange.respond(OK, text, b"text/plain; version=0.0.4")

    async def config(self, exchange: _http.Exchange) -> None:
        """Shows what is in force here, as text and as a sheet."""
        if not self._is_admitted(exchange):
            return
        declared = self._declared()
        exchange.respond_json(
            OK,
            {
                "revision": self._authenticator.view.revision,
                "text": control.export_text(declared),
                "sheet": control.export_sheet(declared).decode(),
            },
        )

    async def apply(self, exchange: _http.Exchange) -> None:
        """Puts a sheet or text in force, or shows what it would change."""
        if not self._is_admitted(exchange):
            return
        parsed = self._parse(exchange)
        if isinstance(parsed, result.Failure):
            _refuse_sheet(exchange, parsed.failure())
            return
        declared = parsed.unwrap()
        changes = _changes(self._declared(), declared)
        if exchange.header("x-dry-run"):
            revision = self._authenticator.view.revision
            document = {"revision": revision, "changes": changes}
            exchange.respond_json(OK, document)
            return
        expected = exchange.header("x-expect-revision")
        if not (expected.isascii() and expected.isdigit()):
            exchange.refuse(
                _bad("Header X-Expect-Revision must give a revision.")
            )
            return
        command = control.ApplyDeclarations(
            request_id=_request_id(exchange),
            operator=exchange.header("x-operator") or OPERATOR,
            expected_revision=int(expected),
            declared=declared,
        )
        await self._commit(exchange, command, {"changes": changes})

    async def list_keys(self, exchange: _http.Exchange) -> None:
        """Lists keys; hashes and secrets stay here."""
        if not self._is_admitted(exchange):
            return
        keys = sorted(
            (key.key_id, key.account)
            for key in self._authenticator.view.key_ids.values()
        )
        document = [{"key": key, "account": account} for key, account in keys]
        exchange.respond_json(OK, {"keys": document})

    async def create_key(self, exchange: _http.Exchange) -> None:
        """Creates a key and shows its secret, this once."""
        if not self._is_admitted(exchange):
            return
        try:
            wish = _KeyWish.read(exchange.json())
        except (ValueError, KeyError, TypeError, AttributeError):
            exchange.refuse(
                _bad(
                    'Send {"account": NAME}, and for safe resends a "secret"'
                    f" of at least {MIN_SECRET_CHARS} characters."
                )
            )
            return
        command = control.CreateKey(
            request_id=_request_id(exchange),
            operator=exchange.header("x-operator") or OPERATOR,
            key=wish.key(),
        )
        extra = {
            "key": wish.key_id,
            "account": wish.account,
            "secret": wish.secret,
        }
        await self._commit(exchange, command, extra)

    async def withdraw_key(self, exchange: _http.Exchange) -> None:
        """Withdraws a key for ever."""
        if not self._is_admitted(exchange):
            return
        key_id = exchange.parameters["key"]
        command = control.WithdrawKey(
            request_id=_request_id(exchange),
            operator=exchange.header("x-operator") or OPERATOR,
            key_id=base.KeyId(key_id),
        )
        await self._commit(exchange, command, {"key": key_id})

    async def status(self, exchange: _http.Exchange) -> None:
        """Shows instances, roles, leases, revisions, endpoints, queues."""
        if self._is_admitted(exchange):
            exchange.respond_json(OK, self._status())

    async def timeline(self, exchange: _http.Exchange) -> None:
        """Shows events, filtered by the query; `scope=all` asks everybody."""
        if not self._is_admitted(exchange):
            return
        fields = {
            name: exchange.query(name) for name in _timeline_calls.QUERY_FIELDS
        }
        peers = self._peers() if exchange.query("scope") == "all" else []
        gathered = await self._timeline.gather(
            _timeline_calls.read_query(fields),
            peers,
            self._clock.now() + GATHER_S,
        )
        body = json.dumps(gathered.to_document()).encode()
        exchange.respond(OK, body)

    async def drain(self, exchange: _http.Exchange) -> None:
        """Asks an instance to shut down gracefully."""
        if not self._is_admitted(exchange):
            return
        instance = base.InstanceId(exchange.parameters["instance"])
        if await self._drain(instance):
            exchange.respond_json(OK, {"instance": instance})
        else:
            exchange.refuse(
                base.Refusal(
                    base.RefusalReason.NOT_FOUND,
                    base.Outcome.NOT_RUN,
                    f"Instance {instance!r} could not be reached.",
                )
            )

    def _is_admitted(self, exchange: _http.Exchange) -> bool:
        secret = _admission.bearer_secret(exchange) or ""
        is_known = bool(self._token) and hmac.compare_digest(
            secret.encode(), self._token.encode()
        )
        if not is_known:
            exchange.refuse(
                base.Refusal(
                    base.RefusalReason.UNAUTHENTICATED,
                    base.Outcome.NOT_RUN,
                    "The operator credential is missing or wrong.",
                )
            )
        return is_known

    def _declared(self) -> control.Declarations:
        view = self._authenticator.view
        return control.Declarations.of(
            [*view.items.values(), *view.key_ids.values()]
        )

    def _parse(self, exchange: _http.Exchange) -> Parsed:
        name = exchange.header("x-sheet-name") or "sheet.csv"
        if name.endswith(TEXT_SUFFIXES):
            return control.parse_text(name, exchange.body)
        return control.parse_sheet(name, exchange.body)

    async def _commit(
        self,
        exchange: _http.Exchange,
        command: control.Command,
        extra: dict[str, typing.Any],
    ) -> None:
        deadline = self._clock.now() + COMMIT_S
        proposed = await self._plane.propose(command, deadline)
        if isinstance(proposed, result.Failure):
            exchange.refuse(_uncommitted(proposed.failure()))
            return
        match proposed.unwrap():
            case control.ConfigAccepted(revision=revision):
                exchange.respond_json(OK, {"revision": revision, **extra})
            case control.RevisionConflict() as conflict:
                exchange.refuse(
                    base.Refusal(
                        base.RefusalReason.CONFLICT,
                        base.Outcome.NOT_RUN,
                        conflict.detail,
                    )
                )
            case control.Rejected(detail=detail):
                exchange.refuse(_bad(detail))


def _gather(
    source: typing.Iterator[str], lines: list[str]
) -> typing.Iterator[None]:
    """Moves one line at each step."""
    for line in source:
        lines.append(line)
        yield None


@attrs.frozen(repr=False)
class _KeyWish:
    """A key to create; all of it follows from what the operator sent.

    A caller that sends the secret gets the same key for each resend; one that
    leaves it out gets a drawn one, and must list keys after a lost answer.
    """

    account: str
    key_id: str
    secret: str

    @classmethod
    def read(cls, document: dict[str, typing.Any]) -> "_KeyWish":
        account = str(document["account"])
        secret = document.get("secret") or secrets.token_urlsafe(SECRET_BYTES)
        if not isinstance(secret, str) or len(secret) < MIN_SECRET_CHARS:
            raise ValueError("The secret is too short.")
        suffix = control.hash_secret(secret)[:KEY_SUFFIX_CHARS]
        key_id = str(document.get("key") or f"{account}-{suffix}")
        return cls(account, key_id, secret)

    def key(self) -> control.Key:
        return control.Key(
            base.KeyId(self.key_id),
            base.AccountId(self.account),
            control.hash_secret(self.secret),
        )


def _request_id(exchange: _http.Exchange) -> base.RequestId:
    return base.RequestId(
        exchange.header("x-request-id") or exchange.request_id
    )


def _changes(
    old: control.Declarations, new: control.Declarations
) -> list[dict[str, str]]:
    if not new.keys:
        new = new.with_keys(old.keys)
    return [
        {"change": type(change).__name__.lower(), "item": str(change.ref)}
        for change in control.diff(old, new)
    ]


def _refuse_sheet(
    exchange: _http.Exchange, errors: control.SheetErrors
) -> None:
    document = {
        "type": "urn:banyanbank:problem:bad-request",
        "title": "bad request",
        "status": BAD_REQUEST,
        "detail": "The sheet has errors; nothing was applied.",
        "outcome": base.Outcome.NOT_RUN.value,
        "request_id": exchange.request_id,
        "errors": [
            {
                "file": error.file,
                "row": error.row,
                "column": error.column,
                "message": error.problem,
                "mend": error.mend,
            }
            for error in errors.errors
        ],
    }
    body = json.dumps(document).encode()
    exchange.respond(BAD_REQUEST, body, b"application/problem+json")


def _bad(detail: str) -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.BAD_REQUEST, base.Outcome.NOT_RUN, detail
    )


def _uncommitted(error: _control_plane.PlaneError) -> base.Refusal:
    outcome = base.Outcome.NOT_RUN
    if error.maybe_committed:
        outcome = base.Outcome.MAY_HAVE_RUN
    return base.Refusal(
        base.RefusalReason.NO_LEADER,
        outcome,
        f"The change was not confirmed: {error.detail} Send it again with the"
        " same X-Request-Id.",
        retry_after=1.0,
    )
