"""Commands in groups: keys, voters, rollouts; one method a command."""

import json as _json
import pathlib
import secrets

from banyanbank_cli import _client
from banyanbank_cli import _connection
from banyanbank_cli import _operator
from banyanbank_cli import _rollouts

SECRET_BYTES = 32
"""Random bytes of a new key."""


class Keys:
    """Keys of client accounts."""

    def __init__(self, connection: _connection.Connection) -> None:
        self._connection = connection

    def create(self, account: str) -> None:
        """Creates a key and shows it; it is never shown again."""
        # Drawn here, so that a resend after a lost answer asks for the same.
        secret = secrets.token_urlsafe(SECRET_BYTES)
        wish = {"account": account, "secret": secret}
        body = _json.dumps(wish).encode()
        call = _client.Call(
            "POST", "/operator/keys", body, _rollouts.JSON_HEADERS
        )
        self._connection.execute(lambda client: _operator.show(client, call))

    def list(self, json: str = "") -> None:
        """Lists the keys, without their secrets."""
        call = _client.Call("GET", "/operator/keys")
        self._connection.execute(
            lambda client: _operator.show(
                client, call, as_json=_connection.flag(json)
            )
        )

    def withdraw(self, key_id: str) -> None:
        """Withdraws a key; it stops working within seconds."""
        path = f"/operator/keys/{_client.quoted(key_id)}/withdraw"
        call = _client.Call("POST", path, b"{}", _rollouts.JSON_HEADERS)
        self._connection.execute(lambda client: _operator.show(client, call))


class Voters:
    """Voters of the replicated log, changed one at a time."""

    def __init__(self, connection: _connection.Connection) -> None:
        self._connection = connection

    def add(self, instance: str) -> None:
        """Makes an instance with a data folder a voter, once caught up."""
        self._change(instance, "add")

    def remove(self, instance: str) -> None:
        """Takes an instance out of the voters."""
        self._change(instance, "remove")

    def _change(self, instance: str, verb: str) -> None:
        path = f"/operator/voters/{_client.quoted(instance)}/{verb}"
        call = _client.Call("POST", path, b"{}", _rollouts.JSON_HEADERS)
        self._connection.execute(lambda client: _operator.show(client, call))


class Rollout:
    """Rollouts, as a trainer asks for them."""

    def __init__(self, connection: _connection.Connection) -> None:
        self._connection = connection

    def submit(
        self,
        trainer: str,
        step: str,
        group: str,
        prompt: str = "",
        prompt_file: str = "",
        max_tokens: str = "0",
    ) -> None:
        """Submits one group of samples."""
        text = prompt
        if prompt_file:
            text = _connection.read_text(prompt_file)
        call = _rollouts.submit_call(
            trainer,
            _connection.number("step", step),
            _connection.number("group", group),
            text,
            _connection.number("max-tokens", max_tokens),
        )
        self._show(call)

    def fetch(
        self, trainer: str, step: str, wait_s: str = "30", output: str = ""
    ) -> None:
        """Fetches the batch of a step, waiting until it is whole."""
        self._connection.execute(
            lambda client: _rollouts.fetch(
                client,
                trainer,
                _connection.number("step", step),
                _connection.number("wait-s", wait_s),
                pathlib.Path(output) if output else None,
            )
        )

    def acknowledge(self, trainer: str, batch: str) -> None:
        """Acknowledges a batch; it is not handed out again."""
        self._show(_rollouts.acknowledge_call(trainer, batch))

    def reject(
        self, trainer: str, batch: str, newest_version: str = "0"
    ) -> None:
        """Gives back a batch that was never used and has become stale.

        --newest-version names weights that were not published here yet.
        """
        newest = _connection.number("newest-version", newest_version)
        self._show(_rollouts.reject_call(trainer, batch, newest))

    def cancel(self, trainer: str, step: str) -> None:
        """Drops a step; its samples are not made any more."""
        self._show(
            _rollouts.cancel_call(trainer, _connection.number("step", step))
        )

    def publish(
        self,
        trainer: str,
        version: str,
        location: str = "",
        size_bytes: str = "0",
        base_model: str = "",
    ) -> None:
        """Announces weights that lie in the weight store.

        --base-model names the model that an adapter extends.
        """
        call = _rollouts.publish_call(
            trainer,
            _connection.number("version", version),
            location,
            _connection.number("size-bytes", size_bytes),
            base_model,
        )
        self._show(call)

    def _show(self, call: _client.Call) -> None:
        self._connection.execute(lambda client: _operator.show(client, call))
