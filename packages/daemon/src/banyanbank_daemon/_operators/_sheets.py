"""Calls about the configuration: what is in force, and what shall be."""

import json

import banyanbank_base as base
import banyanbank_control as control
import banyanbank_web as web
from returns import result

from banyanbank_daemon._operators import _desk

OK = 200
BAD_REQUEST = 400
TEXT_SUFFIXES = (".yaml", ".yml")

Parsed = result.Result[control.Declarations, control.SheetErrors]


class SheetCalls:
    """Shows and changes the configuration.

    Args:
        desk: Admits and commits.
        authenticator: Holds the configuration.
    """

    def __init__(
        self, desk: _desk.Desk, authenticator: control.Authenticator
    ) -> None:
        self._desk = desk
        self._authenticator = authenticator

    def routes(self) -> list[web.Route]:
        """Returns the routes of these calls."""
        return [
            web.Route("GET", "/operator/config", self.config),
            web.Route("POST", "/operator/apply", self.apply),
        ]

    async def config(self, exchange: web.Exchange) -> None:
        """Shows what is in force here, as text and as a sheet."""
        if not self._desk.admits(exchange):
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

    async def apply(self, exchange: web.Exchange) -> None:
        """Puts a sheet or text in force, or shows what it would change."""
        if not self._desk.admits(exchange):
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
                _desk.bad("Header X-Expect-Revision must give a revision.")
            )
            return
        command = control.ApplyDeclarations(
            request_id=_desk.request_id_of(exchange),
            operator=exchange.header("x-operator") or _desk.OPERATOR,
            expected_revision=int(expected),
            declared=declared,
        )
        await self._desk.commit(exchange, command, {"changes": changes})

    def _declared(self) -> control.Declarations:
        view = self._authenticator.view
        return control.Declarations.from_items(
            [*view.items.values(), *view.key_ids.values()]
        )

    def _parse(self, exchange: web.Exchange) -> Parsed:
        name = exchange.header("x-sheet-name") or "sheet.csv"
        if name.endswith(TEXT_SUFFIXES):
            return control.parse_text(name, exchange.body)
        return control.parse_sheet(name, exchange.body)


def _changes(
    old: control.Declarations, new: control.Declarations
) -> list[dict[str, str]]:
    if not new.keys:
        new = new.with_keys(old.keys)
    return [
        {"change": type(change).__name__.lower(), "item": str(change.ref)}
        for change in control.diff(old, new)
    ]


def _refuse_sheet(exchange: web.Exchange, errors: control.SheetErrors) -> None:
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
                "message": error.message,
                "mend": error.hint,
            }
            for error in errors.errors
        ],
    }
    body = json.dumps(document).encode()
    exchange.respond(BAD_REQUEST, body, b"application/problem+json")
