"""Stand-in for the platform's weight store."""

import attrs
from twisted.web import http
from twisted.web import server

from banyanbank_fakes import _server

TOO_MANY_REQUESTS = 429


@attrs.define
class FakeWeightStore(_server.FakeServer):
    """Tells of published versions; `faults` can make it lag or fail."""

    missing: set[int] = attrs.field(factory=set)
    """Versions that it does not have; it has all others."""
    size_bytes: int = 1_000
    """Size of each version."""
    bytes_per_s: float = 1e9
    """Rate at which all engines together may load."""
    refusals: int = 0
    """How many of the next questions are answered 429."""
    retry_after_s: int = 1
    """`Retry-After` of those answers."""
    questions: list[str] = attrs.field(factory=list)
    """Path of every question taken."""

    def __attrs_post_init__(self) -> None:
        """Adds the call of the store."""
        self.add("GET", "/models/*", self._find)

    async def _find(self, request: server.Request, body: bytes) -> None:
        path = request.path.decode()
        self.questions.append(path)
        if self.refusals > 0:
            self.refusals -= 1
            delay = str(self.retry_after_s).encode()
            request.setHeader(b"retry-after", delay)
            answer = {"error": "too many questions"}
            _server.send_json(request, TOO_MANY_REQUESTS, answer)
            return
        version = int(path.rpartition("/")[2])
        if version in self.missing:
            answer = {"error": f"no version {version}"}
            _server.send_json(request, http.NOT_FOUND, answer)
            return
        stored = {
            "version": version,
            "size_bytes": self.size_bytes,
            "bytes_per_s": self.bytes_per_s,
        }
        _server.send_json(request, http.OK, stored)
