"""Serves endpoints: announce, renew, leave, reclaim notice, reports."""

import hmac
import ipaddress
import typing
import urllib.parse

import banyanbank_base as base
import banyanbank_control as control
import banyanbank_web as web

from banyanbank_daemon import _endpoint_fields
from banyanbank_daemon import _engine_reports
from banyanbank_daemon import _jobs
from banyanbank_daemon import _sync
from banyanbank_daemon._entry import _admission

OK = 200
MAX_MODELS = 64
MAX_SLOTS = 4_096


class EndpointCalls:
    """Serves the calls of endpoints.

    Args:
        clock: Clock of the process.
        token: Announce credential; empty refuses everybody.
        client: Takes in what was announced.
        pass_on: Takes in what engines report.
    """

    def __init__(
        self,
        clock: base.Clock,
        token: str,
        client: _sync.SyncClient,
        pass_on: typing.Callable[[_jobs.EngineReport], None],
    ) -> None:
        self._clock = clock
        self._token = token
        self._client = client
        self._pass_on = pass_on

    async def announce(self, exchange: web.Exchange) -> None:
        """Takes an announcement or its renewal."""
        self._take(exchange, control.Phase.SERVING)

    async def leave(self, exchange: web.Exchange) -> None:
        """Takes the word of an endpoint that leaves."""
        self._take(exchange, control.Phase.LEAVING)

    async def reclaim_notice(self, exchange: web.Exchange) -> None:
        """Takes the notice that the platform takes an endpoint back."""
        self._take(exchange, control.Phase.RECLAIMED)

    async def report(self, exchange: web.Exchange) -> None:
        """Takes an engine's cache events and load."""

        def take() -> str:
            report = _engine_reports.read_report(exchange.json())
            self._pass_on(report)
            return report.cache.endpoint_id

        self._answer(exchange, take)

    def _take(self, exchange: web.Exchange, phase: control.Phase) -> None:
        def take() -> str:
            announcement = self._read(exchange, phase)
            self._client.hear(announcement)
            return announcement.endpoint

        self._answer(exchange, take)

    def _answer(
        self, exchange: web.Exchange, take: typing.Callable[[], str]
    ) -> None:
        """Answers a call of an endpoint that knows the credential."""
        secret = _admission.bearer_secret(exchange) or ""
        is_known = bool(self._token) and hmac.compare_digest(
            secret.encode(), self._token.encode()
        )
        if not is_known:
            exchange.refuse(
                _refusal(
                    base.RefusalReason.UNAUTHENTICATED,
                    "The announce credential is missing or wrong.",
                )
            )
            return
        try:
            endpoint = take()
        except (ValueError, RecursionError) as exc:
            exchange.refuse(
                _refusal(base.RefusalReason.BAD_REQUEST, str(exc)[:500])
            )
            return
        exchange.respond_json(OK, {"endpoint": endpoint})

    def _read(
        self, exchange: web.Exchange, phase: control.Phase
    ) -> control.Announcement:
        document = exchange.json()
        fields = _endpoint_fields.Fields.of(document)
        gone_in_s = fields.number("reclaim_in_s", default=0)
        gone_at = None
        if phase is control.Phase.RECLAIMED:
            gone_at = self._clock.wall() + gone_in_s
        kind = _kind_of(fields.text("kind"))
        return control.Announcement(
            endpoint=base.EndpointId(fields.text("endpoint")),
            incarnation=base.Incarnation(fields.number("incarnation")),
            sequence=self._next_sequence(fields),
            kind=kind,
            address=_address_of(fields.text("url")),
            failure_domain=base.FailureDomain(fields.text("failure_domain")),
            supply=(
                control.Supply.RECLAIMABLE
                if document.get("reclaimable") is True
                else control.Supply.SAFE
            ),
            models=_models_of(fields),
            service=fields.text("service", default=""),
            slots=max(1, min(MAX_SLOTS, fields.number("slots", default=1))),
            checks_fencing=document.get("checks_fencing") is True,
            phase=phase,
            gone_at=gone_at,
        )

    def _next_sequence(self, fields: _endpoint_fields.Fields) -> int:
        # An endpoint that numbers its announcements goes before the time of
        # arrival, which two instances may see in different orders.
        own = fields.number("sequence", default=0)
        return own or int(self._clock.wall() * 1_000)


def _kind_of(text: str) -> control.EndpointKind:
    try:
        return control.EndpointKind(text)
    except ValueError:
        raise _endpoint_fields.EndpointFieldError(
            "Field kind must be engine or service."
        ) from None


def _address_of(url: str) -> str:
    parts = urllib.parse.urlsplit(url)
    if parts.scheme != "http" or parts.hostname is None or parts.port is None:
        raise _endpoint_fields.EndpointFieldError(
            "Field url must be http://IP:PORT."
        )
    host = str(ipaddress.ip_address(parts.hostname))
    return f"{host}:{parts.port}"


def _models_of(
    fields: _endpoint_fields.Fields,
) -> tuple[control.ServedModel, ...]:
    names = fields.document.get("models", [])
    if not isinstance(names, list) or len(names) > MAX_MODELS:
        raise _endpoint_fields.EndpointFieldError(
            "Field models must be a list of names."
        )
    version = fields.number("weight_version", default=0)
    models = []
    for name in names:
        if (
            not isinstance(name, str)
            or not 0 < len(name) <= _endpoint_fields.MAX_NAME_CHARS
        ):
            raise _endpoint_fields.EndpointFieldError(
                "Field models must be a list of names."
            )
        models.append(
            control.ServedModel(
                base.ModelName(name), base.WeightVersion(version)
            )
        )
    return tuple(models)


def _refusal(reason: base.RefusalReason, detail: str) -> base.Refusal:
    return base.Refusal(reason, base.Outcome.NOT_RUN, detail)
