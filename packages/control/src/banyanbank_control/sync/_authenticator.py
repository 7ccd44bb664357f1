"""Decides whose request it is and what that account may use."""

import hmac

import attrs
import banyanbank_base as base
import returns.result

from banyanbank_control import declarations
from banyanbank_control.sync import _gate
from banyanbank_control.sync import _view

MAX_SECRET_CHARS = 512
"""Longest secret that is looked at."""

_RETRY_STALE_S = 1.0


@attrs.frozen
class Principal:
    """A caller whose key holds."""

    account: base.AccountId
    """Account that the key speaks for."""
    key_id: base.KeyId
    """The key."""


@attrs.frozen
class Admission:
    """A request on a route that may go on."""

    route: declarations.Route
    """The route."""
    principal: Principal | None
    """The caller; None on a route open to all."""


class Authenticator:
    """Checks keys and permissions against the configuration held.

    Every refusal of it is `NOT_RUN`: it is asked before anything is sent.

    Attributes:
        view: Configuration held; the owner replaces it after each reply.

    Args:
        gate: Says whether that configuration is fresh.
    """

    def __init__(self, gate: _gate.Freshness) -> None:
        self.view = _view.ConfigView()
        self._gate = gate

    def authenticate(
        self, secret: str | None, now: float
    ) -> returns.result.Result[Principal, base.Refusal]:
        """Finds the key that a secret belongs to.

        Args:
            secret: What came with the request; None when nothing did.
            now: Monotonic time in seconds.
        """
        if not self._gate.is_fresh(now):
            return returns.result.Failure(_stale())
        if not secret or len(secret) > MAX_SECRET_CHARS:
            return returns.result.Failure(
                _refusal(
                    base.RefusalReason.UNAUTHENTICATED,
                    "No usable key came with the request; send it as"
                    " 'Authorization: Bearer …'.",
                )
            )
        return self._find_key(secret)

    def _find_key(
        self, secret: str
    ) -> returns.result.Result[Principal, base.Refusal]:
        # Only digests are compared: their timing tells nothing of secrets.
        digest = declarations.hash_secret(secret)
        key = self.view.keys.get(digest)
        if key and hmac.compare_digest(key.secret_sha256, digest):
            return returns.result.Success(Principal(key.account, key.key_id))
        if self.view.withdrawn.get(digest) is not None:
            return returns.result.Failure(_withdrawn())
        return returns.result.Failure(
            _refusal(
                base.RefusalReason.UNAUTHENTICATED,
                "The key is not known here; check it, or retry when it was"
                " created seconds ago.",
            )
        )

    def recheck(self, principal: Principal, now: float) -> base.Refusal | None:
        """Checks a caller again, before queued work goes out.

        Returns:
            Why it may not go out any more; None when it may.
        """
        if not self._gate.is_fresh(now):
            return _stale()
        held = self.view.key_ids.get(principal.key_id)
        if held is None or held.account != principal.account:
            return _withdrawn()
        return None

    def authorise_model(
        self, principal: Principal, model: str
    ) -> base.Refusal | None:
        """Returns why an account may not use a model; None when it may."""
        if self.view.get(declarations.Kind.MODEL, model) is None:
            return _refusal(
                base.RefusalReason.NOT_FOUND,
                f"There is no model {model!r}; ask for a declared one.",
            )
        if self._granted(principal, declarations.Target.MODEL, model):
            return None
        return _forbidden(f"model {model!r}")

    def find_route(self, path: str) -> declarations.Route | None:
        """Returns the route with the longest prefix of a path."""
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
        """Decides on a request to a plain service.

        Args:
            path: Decoded path of the request, without query.
            secret: What came with the request; None when nothing did.
            now: Monotonic time in seconds.
        """
        route = self.find_route(path)
        if route is None and not self._gate.is_fresh(now):
            # A route may have been declared meanwhile: "not found" would lie.
            return returns.result.Failure(_stale())
        if route is None:
            return returns.result.Failure(
                _refusal(
                    base.RefusalReason.NOT_FOUND,
                    "No declared route fits the path.",
                )
            )
        if route.access is declarations.Access.OPEN:
            return returns.result.Success(Admission(route, None))
        return self.authenticate(secret, now).bind(
            lambda principal: self._admit_keyed(route, principal)
        )

    def _admit_keyed(
        self, route: declarations.Route, principal: Principal
    ) -> returns.result.Result[Admission, base.Refusal]:
        named = (principal.account, declarations.ANY_ACCOUNT)
        if any(account in route.accounts for account in named):
            return returns.result.Success(Admission(route, principal))
        target = declarations.Target.ROUTE
        if self._granted(principal, target, route.path_prefix):
            return returns.result.Success(Admission(route, principal))
        return returns.result.Failure(
            _forbidden(f"route {route.path_prefix!r}")
        )

    def _granted(
        self, principal: Principal, target: declarations.Target, name: str
    ) -> bool:
        ref = declarations.grant_ref(principal.account, target, name)
        return ref in self.view.items


def _refusal(reason: base.RefusalReason, detail: str) -> base.Refusal:
    return base.Refusal(reason, base.Outcome.NOT_RUN, detail)


def _stale() -> base.Refusal:
    return base.Refusal(
        base.RefusalReason.CONFIGURATION_STALE,
        base.Outcome.NOT_RUN,
        "This instance cannot be sure that keys still hold; retry, or ask"
        " another instance.",
        retry_after=_RETRY_STALE_S,
    )


def _withdrawn() -> base.Refusal:
    return _refusal(
        base.RefusalReason.KEY_WITHDRAWN,
        "The key was withdrawn; ask the operator for another.",
    )


def _forbidden(what: str) -> base.Refusal:
    return _refusal(
        base.RefusalReason.FORBIDDEN,
        f"The key's account may not use {what}; ask the operator for a grant.",
    )
