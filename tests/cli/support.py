"""A scripted HTTP server and a way to run the command line against it."""

import collections.abc
import contextlib
import io
import json
import pathlib
import tempfile
import typing
import unittest
import unittest.mock

import attrs
from banyanbank_cli import _client
from banyanbank_cli import _reactor
from banyanbank_cli import main
from twisted.web import resource
from twisted.web import server

from tests import support

TOKEN = "operator-secret-41"


@attrs.frozen
class Taken:
    """One request that the server has taken."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class Answer:
    """One answer that the server gives."""

    document: object = None
    status: int = 200
    lost: bool = False
    """Whether the connection is cut in place of an answer."""
    cut: bool = False
    """Whether the connection is cut within the body."""
    silent: bool = False
    """Whether the body never ends."""
    headers: tuple[tuple[str, str], ...] = ()


class ScriptedResource(resource.Resource):
    """Gives the scripted answers in turn, the last one for ever."""

    isLeaf = True  # noqa: N815

    def __init__(self, *answers: Answer) -> None:
        super().__init__()
        self.answers = list(answers)
        self.taken: list[Taken] = []

    def render(self, request: server.Request) -> bytes | int:
        headers = {
            name.decode().lower(): values[0].decode()
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        content = request.content
        assert content is not None
        self.taken.append(
            Taken(
                request.method.decode(),
                request.uri.decode(),
                headers,
                content.read(),
            )
        )
        answer = self.answers[0]
        if len(self.answers) > 1:
            self.answers.pop(0)
        if answer.lost:
            request.transport.abortConnection()
            return server.NOT_DONE_YET
        request.setResponseCode(answer.status)
        for name, value in answer.headers:
            request.setHeader(name.encode(), value.encode())
        body = json.dumps(answer.document).encode()
        if answer.silent:
            request.write(body)
            return server.NOT_DONE_YET
        if answer.cut:
            request.setHeader(b"content-length", b"%d" % (len(body) + 9))
            request.write(body)
            request.transport.loseConnection()
            return server.NOT_DONE_YET
        return body


@attrs.frozen
class Ending:
    """How the command line ended."""

    code: int
    out: str
    err: str


class CommandCase(unittest.TestCase):
    """Base of cases that run the command line."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.token_file = self.folder / "token"
        self.token_file.write_text(TOKEN + "\n")
        patched = unittest.mock.patch.object(_client, "RETRY_DELAY_S", 0.0)
        patched.start()
        self.addCleanup(patched.stop)

    def serve(self, *answers: Answer) -> tuple[ScriptedResource, str]:
        """Starts a scripted server; returns it and its URL."""
        from twisted.internet import reactor

        scripted = ScriptedResource(*answers)
        listener = reactor.listenTCP(
            0, server.Site(scripted), interface="127.0.0.1"
        )

        async def stop() -> None:
            await listener.stopListening()

        self.addCleanup(support.run_async, stop)
        return scripted, f"http://127.0.0.1:{listener.getHost().port}"

    def run_command(self, *arguments: str) -> Ending:
        """Runs the command line in this process."""
        out = io.StringIO()
        err = io.StringIO()
        code = 0
        with (
            unittest.mock.patch.dict("os.environ", {}, clear=True),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            try:
                main.main(run_on_test_loop, list(arguments))
            except SystemExit as exc:
                code = int(exc.code or 0)
        return Ending(code, out.getvalue(), err.getvalue())

    def run_at(self, url: str, *arguments: str) -> Ending:
        """Runs a command against a server, with the token."""
        flags = ("--server", url, "--token-file", str(self.token_file))
        return self.run_command(*arguments, *flags)


def run_on_test_loop(
    function: _reactor.CoroutineFunction[typing.Any],
) -> typing.Any:
    """Runs a coroutine function as commands need it."""
    run: collections.abc.Callable[..., typing.Any] = support.run_async
    return run(function)
