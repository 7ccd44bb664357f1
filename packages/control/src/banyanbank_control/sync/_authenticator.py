"""Authentication and authorisation of callers' requests."""

import hmac

import attrs
import banyanbank_base as base
import returns.result

from banyanbank_control import declarations
from banyanbank_control.sync import _freshness
from banyanbank_control.sync import _view

MAX_SECRET_CHARS = 512
"""Longer secrets are rejected without being hashed."""

_STALE_RETRY_DELAY_S = 1.0


@attrs.frozen
class Principal:
    """A caller whose API key is valid."""

    account: base.AccountId
    """Account that the key belongs to."""
    key_id: base.KeyId
    """ID of the key that was presented."""


@attrs.frozen
class Admission:
    """An authorised request to a declared route."""

    route: declarations.Route
    """Route that matches the path of the request."""
    principal: Principal | None
    """The caller; None on an open route."""


class Authenticator:
    """Checks keys and permissions against the configuration held.

    Runs before a request is sent to an endpoint: the outcome of every refusal
    is `NOT_RUN`.

    Attributes:
        view: Configuration held; the owner replaces it after each reply.

    Args:
        freshness: Tells whether that configuration is fresh.
    """

    def __init__(self, freshness: _freshness.Freshness) -> None:
        self.view = _view.ConfigView()
        self._freshness = freshness

    def authenticate(
        self, secret: str | None, now: float
    ) -> returns.result.Result[Principal, base.Refusal]:
        """Looks up the caller by the secret of an API key.

        Args:
            secret: Secret sent with the request; None if absent.
            now: Monotonic time in seconds.

        Returns:
            The caller, or a refusal if the configuration is stale or the key
            is missing, unknown or withdrawn.
        """
        if not self._freshness.is_fresh(now):
            return returns.result.Failure(_make_stale_refusal())
        if not secret or len(secret) > MAX_SECRET_CHARS:
            return returns.result.Failure(
                _make_refusal(
                    base.RefusalReason.UNAUTHENTICATED,
                    "The request carries no usable API key; send one as"
                    " 'Authorization: Bearer …'.",
                )
            )
        return self._find_principal(secret)

    def _find_principal(
        self, secret: str
    ) -> returns.result.Result[Principal, base.Refusal]:
        # Only digests are compared, so timing reveals nothing about secrets.
        digest = declarations.hash_secret(secret)
        key = self.view.keys.get(digest)
        if key and hmac.compare_digest(key.secret_sha256, digest):
            return returns.result.Success(Principal(key.account, key.key_id))
        if self.view.withdrawn.get(digest) is not None:
            return returns.result.Failure(_make_withdrawn_refusal())
        return returns.result.Failure(
            _make_refusal(
                base.RefusalReason.UNAUTHENTICATED,
                "The API key is unknown to this instance; check it, or retry if"
                " it was created a few seconds ago.",
            )
        )

    def recheck(self, principal: Principal, now: float) -> base.Refusal | None:
        """Checks a caller again before queued work is sent.

        Returns:
            Why the work must not be sent any more; None if it may.
        """
        if not self._freshness.is_fresh(now):
            return _make_stale_refusal()
        held = self.view.key_ids.get(principal.key_id)
        if held is None or held.account != principal.account:
            return _make_withdrawn_refusal()
        return None

    def authorise_model(
        self, principal: Principal, model: str
    ) -> base.Refusal | None:
        """Returns why an account may not use a model; None if it may."""
        if self.view.get(declarations.Kind.MODEL, model) is None:
            return _make_refusal(
                base.RefusalReason.NOT_FOUND,
                f"Model {model!r} is not declared; use a declared model.",
            )
        if self._has_grant(principal, declarations.Target.MODEL, model):
            return None
        return _make_forbidden_refusal(f"model {model!r}")

    def find_route(self, path: str) -> declarations.Route | None:
        """Returns the route with the longest prefix of a path, if any."""
        prefix = path.rstrip("/")
        while prefix:
            item = self.view.get(declarations.Kind.ROUTE, prefix)
            if isinstance(item, declarations.Route):
                return item
            prefix = prefix.rpartition("/")[0]
        return None

    def admit(
        self, path: str, secret: str | None, now: float
    ) -> returns.result.Result[Admission, base.Refusal]:
        """Authorises a request to a plain service.

        Args:
            path: Decoded path of the request, without the query.
            secret: Secret sent with the request; None if absent.
            now: Monotonic time in seconds.
        """
        route = self.find_route(path)
        if route is None and not self._freshness.is_fresh(now):
            # The route may be declared in a revision not received yet.
            return returns.result.Failure(_make_stale_refusal())
        if route is None:
            return returns.result.Failure(
                _make_refusal(
                    base.RefusalReason.NOT_FOUND,
                    "No declared route matches the path; check the path.",
                )
            )
        if route.access is declarations.Access.OPEN:
            return returns.result.Success(Admission(route, None))
        return self.authenticate(secret, now).bind(
            lambda principal: self._authorise_route(route, principal)
        )

    def _authorise_route(
        self, route: declarations.Route, principal: Principal
    ) -> returns.result.Result[Admission, base.Refusal]:
        allowed_accounts = (principal.account, declarations.ANY_ACCOUNT)
        if any(account in route.accounts for account in allowed_accounts):
            return returns.result.Success(Admission(route, principal))
        target = declarations.Target.ROUTE
        if self._has_grant(principal, target, route.path_prefix):
            return returns.result.Success(Admission(route, principal))
        return returns.result.Failure(
            _make_forbidden_refusal(f"route {route.path_prefix!r}")
        )

    def _has_grant(
        self, principal: Principal, target: declarations.Target, name: str
    ) -> bool:
        ref = declarations.grant_ref(principal.account, target, name)
        return ref in self.view.items


def _make_refusal(reason: base.RefusalReason, detail: str) -> base.Refusal:
    return base.Refusal(reason, base.Outcome.NOT_RUN, detail)


def _make_stale_refusal() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.CONFIGURATION_STALE,
        base.Outcome.NOT_RUN,
        "This instance's configuration is stale, so it cannot verify API keys;"
        " retry, or use another instance.",
        retry_after=_STALE_RETRY_DELAY_S,
    )


def _make_withdrawn_refusal() -> base.Refusal:
    return _make_refusal(
        base.RefusalReason.KEY_WITHDRAWN,
        "The API key was withdrawn; ask the operator for a new one.",
    )


def _make_forbidden_refusal(resource: str) -> base.Refusal:
    return _make_refusal(
        base.RefusalReason.FORBIDDEN,
        f"The key's account may not use {resource}; ask the operator for a"
        " grant.",
    )
