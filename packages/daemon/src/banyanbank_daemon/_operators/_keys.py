"""Calls about keys."""

import secrets
import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_web as web

from banyanbank_daemon._operators import _desk

OK = 200
SECRET_BYTES = 32
MIN_SECRET_CHARS = 32
KEY_SUFFIX_CHARS = 8


class KeyCalls:
    """Lists, creates and withdraws keys.

    Args:
        desk: Admits and commits.
        authenticator: Holds the keys in force.
    """

    def __init__(
        self, desk: _desk.Desk, authenticator: control.Authenticator
    ) -> None:
        self._desk = desk
        self._authenticator = authenticator

    def routes(self) -> list[web.Route]:
        """Returns the routes of these calls."""
        return [
            web.Route("GET", "/operator/keys", self.list_keys),
            web.Route("POST", "/operator/keys", self.create_key),
            web.Route(
                "POST", "/operator/keys/{key}/withdraw", self.withdraw_key
            ),
        ]

    async def list_keys(self, exchange: web.Exchange) -> None:
        """Lists keys; hashes and secrets stay here."""
        if not self._desk.admits(exchange):
            return
        keys = sorted(
            (key.key_id, key.account)
            for key in self._authenticator.view.key_ids.values()
        )
        document = [{"key": key, "account": account} for key, account in keys]
        exchange.respond_json(OK, {"keys": document})

    async def create_key(self, exchange: web.Exchange) -> None:
        """Creates a key and shows its secret, this once."""
        if not self._desk.admits(exchange):
            return
        try:
            wish = _KeyWish.read(exchange.json())
        except (ValueError, KeyError, TypeError, AttributeError):
            exchange.refuse(
                _desk.bad(
                    'Send {"account": NAME}, and for safe resends a "secret"'
                    f" of at least {MIN_SECRET_CHARS} characters."
                )
            )
            return
        command = control.CreateKey(
            request_id=_desk.request_id_of(exchange),
            operator=exchange.header("x-operator") or _desk.OPERATOR,
            key=wish.key(),
        )
        extra = {
            "key": wish.key_id,
            "account": wish.account,
            "secret": wish.secret,
        }
        await self._desk.commit(exchange, command, extra)

    async def withdraw_key(self, exchange: web.Exchange) -> None:
        """Withdraws a key for ever."""
        if not self._desk.admits(exchange):
            return
        key_id = exchange.parameters["key"]
        command = control.WithdrawKey(
            request_id=_desk.request_id_of(exchange),
            operator=exchange.header("x-operator") or _desk.OPERATOR,
            key_id=base.KeyId(key_id),
        )
        await self._desk.commit(exchange, command, {"key": key_id})


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
