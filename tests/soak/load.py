"""Callers, trainers, servers and operators, and what they were promised."""

import json
import random
import time
import typing

from twisted.internet import defer

from tests import support
from tests.platform import fakes
from tests.soak import documents
from tests.soak import http
from tests.soak import servers
from tests.soak import world

BEAT_S = 1.0
CALL_S = 1.0
ACCEPT_S = 10.0
"""Seconds for which a batch job is offered."""
MOST_ENDED = 2
"""Servers that a deadly request may end at one entry."""
JOB_ROUTES = {"jobs": "engines", "tuned": "tuned"}
"""Service of each rollout route; texts of `tuned` are of a single version."""
DRAIN_S = 2.0
"""Seconds after an answer that states a departure (`drain-ms`)."""
INVALID_LEAD = 1_000
"""How far the number of an invalid document is above those of valid ones."""
TEXT = "\n".join(f"piece {n + 1}" for n in range(fakes.EVENT_COUNT))


class Promises:
    """Collects what was broken.

    Attributes:
        broken: One line for each broken promise.
        counts: How often each kind of call was made and answered.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.counts: dict[str, int] = {}

    def check(self, holds: bool, text: str) -> None:
        """Notes a broken promise."""
        if not holds:
            self.broken.append(text)

    def count(self, what: str) -> None:
        """Counts something that happened."""
        self.counts[what] = self.counts.get(what, 0) + 1


class Load:
    """Everybody who speaks with the deployment, and the checks.

    Args:
        there: The deployment.
        rng: Source of all choices.
        promises: Takes what was broken.
    """

    def __init__(
        self, there: world.World, rng: random.Random, promises: Promises
    ) -> None:
        self._there = there
        self._rng = rng
        self.promises = promises
        self._caller = http.Caller(there.reactor)
        self._jobs: dict[str, list[typing.Any]] = {}
        self._once: dict[str, int | None] = {}
        self._numbers = 0
        self._seen: dict[tuple[str, int], int] = {}
        self._routes: dict[str, str] = {}
        self._left: dict[tuple[str, int, int, str], float] = {}
        self._acknowledgements: list[tuple[float, int]] = []
        self.is_running = True
        self.are_servers_up = True
        self.version = 1
        self.acknowledged = 0
        self.sent = 0

    def start(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Starts something that nobody waits for; its defects are noted."""
        running = defer.ensureDeferred(work)
        running.addErrback(
            lambda failure: self.promises.check(False, failure.getTraceback())
        )

    async def stop(self) -> None:
        """Closes all connections."""
        await self._caller.close()

    async def beat(self) -> None:
        """Announces all servers, each at whichever store answers."""
        sequence = 0
        while self.are_servers_up:
            sequence += 1
            for name in self._there.farm.servers:
                self.start(self._announce(name, sequence))
            await support.next_turn(BEAT_S)

    async def _announce(self, name: str, sequence: int) -> None:
        for store in self._shuffled(self._there.stores):
            sent_at = self._there.reactor.seconds()
            body = self._there.farm.announcement(name, sequence)
            reply = await self.call_store(
                "PUT", store, f"instances/{name}", body
            )
            if reply is not None and reply.status == 200:
                now = self._there.reactor.seconds()
                self._there.records.record_news(name, sent_at, now)
                return

    async def call_store(
        self, method: str, store: world.Member, path: str, body: bytes = b""
    ) -> http.Reply | None:
        """Makes a call of operators or servers; None if it is unanswered."""
        return await self.call(
            method, f"{self._there.control_url(store)}/-/{path}", body
        )

    async def call(
        self, method: str, url: str, body: bytes = b""
    ) -> http.Reply | None:
        """Makes a call; None if it is not answered in time."""
        return await self._caller.call(method, url, body, CALL_S)

    async def operate(self) -> None:
        """Declares documents, and reads what is in force."""
        while self.is_running:
            self.sent += self._rng.randint(1, 3)
            await self._declare(self.sent)
            await self._read_document()
            await support.next_turn(self._rng.uniform(0.3, 1.5))

    async def _declare(self, number: int) -> None:
        body = json.dumps(documents.make_document(number)).encode()
        for _ in range(8):
            store = self._rng.choice(self._there.stores)
            url = self._there.control_url(store) + "/-/config"
            reply = await self._caller.call("PUT", url, body, CALL_S)
            if reply is not None and reply.status == 200:
                self.promises.count("documents acknowledged")
                self.acknowledged = max(self.acknowledged, number)
                self._acknowledgements.append((time.monotonic(), number))
                self._there.records.record_acknowledgement()
                return
            self.promises.check(
                reply is None or reply.status >= 500,
                f"document {number} was refused: {reply}",
            )
            await support.next_turn(0.2)

    async def _read_document(self) -> None:
        least = self.acknowledged
        store = self._rng.choice(self._there.stores)
        url = self._there.control_url(store) + "/-/config"
        reply = await self._caller.call("GET", url, limit_s=CALL_S)
        if reply is not None and reply.status == 200:
            self.promises.count("documents read")
            held = reply.json()["version"]
            self.promises.check(
                least <= held <= self.sent,
                f"{store.name} read document {held} after {least} was "
                f"acknowledged and {self.sent} sent",
            )

    async def disturb(self, rng: random.Random) -> None:
        """Sends invalid documents and odd announcements to the stores.

        Args:
            rng: Source of the choices, apart from those of the other load.
        """
        while self.is_running:
            await support.next_turn(rng.uniform(0.5, 2.0))
            store = rng.choice(self._there.stores)
            if rng.random() < 0.5:
                path, body = "/-/instances/odd", documents.ODD_ANNOUNCEMENT
            else:
                document = documents.make_document(self.sent + INVALID_LEAD)
                document["routes"][-1] |= rng.choice(documents.INVALID_CHANGES)
                path, body = "/-/config", json.dumps(document).encode()
            url = self._there.control_url(store) + path
            reply = await self._caller.call("PUT", url, body, CALL_S)
            if reply is not None:
                self.promises.count("invalid calls answered")
                self.promises.check(
                    reply.status == 400,
                    f"{store.name} answered {reply.status} to {body[:200]!r}",
                )

    async def publish(self) -> None:
        """Names new versions of the weights."""
        while self.is_running:
            await support.next_turn(self._rng.uniform(2.0, 4.0))
            number = self.version + 1
            body = json.dumps({"model": "model", "version": number}).encode()
            for store in self._shuffled(self._there.stores):
                url = self._there.control_url(store) + "/-/version-put"
                reply = await self._caller.call("POST", url, body, CALL_S)
                if reply is not None and reply.status == 200:
                    self.version = number
                    break

    async def ask(self) -> None:
        """Sends requests of both kinds over kept connections."""
        while self.is_running:
            await support.next_turn(self._rng.uniform(0.02, 0.1))
            entry = self._rng.choice(self._there.entries)
            self.start(self._ask_once(entry))
            if self._rng.random() < 0.2:
                self.start(self._probe(entry))
            if self._rng.random() < 0.01:
                self.start(self._ask_deadly())

    async def _ask_once(self, entry: world.Member) -> None:
        self._numbers += 1
        name = f"r{self._numbers}"
        kind = self._rng.choice(("plain", "once"))
        state = (entry.name, entry.lives, entry.pauses)
        sent_at = self._there.reactor.seconds()
        url = self._there.front_url(entry) + f"/{kind}/{name}"
        reply = await self._caller.call(
            "POST",
            url,
            b"body",
            2.5,
            x_banyanbank_request_id=name,
            x_banyanbank_deadline_ms="2000",
        )
        if kind == "once":
            self._once[name] = None if reply is None else reply.status
        if reply is None:
            self.promises.count("requests without answer")
        elif reply.status == 200:
            self.promises.count("requests answered")
            self._check_departure(name, state, entry, reply, sent_at)
            mark = reply.headers.get("x-banyanbank-response-signature")
            self.promises.check(
                mark == f"signed.{name}"
                and reply.body == b"answer to " + name.encode(),
                f"{name} got an answer that is not its own: {reply}",
            )
        else:
            self.promises.check(reply.status >= 400, f"{name} got {reply}")
            self.promises.count(f"requests refused {reply.status}")

    async def _ask_deadly(self) -> None:
        """Repeats a request that ends its servers until it is told not to."""
        self._numbers += 1
        body = servers.DEADLY + b"%d" % self._numbers
        entries = self._there.entries
        restarts = -sum(entry.lives for entry in entries)
        status = None
        for _ in range(6):
            entry = self._rng.choice(entries)
            url = self._there.front_url(entry) + "/plain/deadly"
            reply = await self._caller.call("POST", url, body, 2.5)
            status = None if reply is None else reply.status
            if status == 400:
                self.promises.count("deadly requests told apart")
                break
            await support.next_turn(0.1)
        restarts += sum(entry.lives for entry in entries)
        # Each life of an entry that is cut off knows what it has seen itself.
        most = MOST_ENDED * (len(entries) + restarts)
        ended = sum(one.crashes[body] for one in self._there.farm.plain)
        self.promises.check(
            ended <= most,
            f"{body.decode()} ended {ended} servers, last status {status}",
        )

    def _check_departure(
        self,
        name: str,
        state: tuple[str, int, int],
        entry: world.Member,
        reply: http.Reply,
        sent_at: float,
    ) -> None:
        """An entry sends nothing to a server that told it of its departure."""
        if state != (entry.name, entry.lives, entry.pauses):
            return
        life = (*state, reply.headers["x-life"])
        left_at = self._left.get(life)
        self.promises.check(
            left_at is None or sent_at <= left_at + DRAIN_S,
            f"{name} reached {life} after an answer that it leaves",
        )
        if reply.headers.get(fakes.LEAVING_HEADER) == "1":
            self.promises.count("answers of leaving servers")
            self._left.setdefault(life, self._there.reactor.seconds())

    async def _probe(self, entry: world.Member) -> None:
        """An entry never goes back to an older document in one life.

        Its first one is not older than what was acknowledged before its start.
        """
        life = (entry.name, entry.lives)
        newest = self._seen.get(life) or self._newest_before(entry.started_at)
        number = self._rng.randint(max(1, self.sent - 4), max(1, self.sent))
        url = self._there.front_url(entry) + f"/of-{number}/x"
        reply = await self._caller.call(
            "POST", url, b"x", x_banyanbank_request_id=f"p{number}"
        )
        if reply is None or reply.status != 200 or entry.lives != life[1]:
            return
        self.promises.check(
            number >= newest,
            f"{entry.name} served document {number} after {newest}",
        )
        self._seen[life] = max(self._seen.get(life, 0), number)

    def _newest_before(self, moment: float) -> int:
        """Returns the newest document acknowledged before a moment."""
        return max(
            (number for at, number in self._acknowledgements if at < moment),
            default=0,
        )

    async def train(self) -> None:
        """Submits batch jobs and reads them to their ends."""
        while self.is_running:
            self._numbers += 1
            self.start(self._run_job(f"job-{self._numbers}"))
            await support.next_turn(self._rng.uniform(0.4, 1.2))

    async def _run_job(self, job: str) -> None:
        route = self._routes[job] = self._rng.choice(list(JOB_ROUTES))
        body = documents.make_job(job, self.version, route)
        least = max(1, self.version - 1)
        until = self._there.reactor.seconds() + ACCEPT_S
        status = None
        while status != 202 and self._there.reactor.seconds() < until:
            entry = self._rng.choice(self._there.entries)
            url = self._there.front_url(entry) + f"/{route}/x"
            reply = await self._caller.call(
                "POST", url, body, 3.0, x_banyanbank_request_id=job
            )
            status = None if reply is None else reply.status
            self.promises.check(
                status is None or status == 202 or status >= 429,
                f"{job} was refused: {reply}",
            )
            if status != 202:
                await support.next_turn(0.3)
        if status != 202:
            self.promises.count("jobs not accepted")
            return
        self.promises.count("jobs accepted")
        self._jobs[job] = []
        while len(self._jobs[job]) < documents.ITEMS:
            await self._read_job(job, least)
            await support.next_turn(0.2)
        self.promises.count("jobs read to the end")

    async def _read_job(self, job: str, least: int) -> None:
        """Results keep their positions, and each is what engines made."""
        known = self._jobs[job]
        after = self._rng.randint(0, len(known))
        entry = self._rng.choice(self._there.entries)
        url = f"{self._there.front_url(entry)}/-/lots/{job}?after={after}"
        reply = await self._caller.call(
            "GET", url, limit_s=2.5, x_banyanbank_wait_ms="500"
        )
        if reply is None or reply.status == 503:
            return
        self.promises.check(
            reply.status == 200, f"{job} could not be read: {reply}"
        )
        if reply.status != 200:
            return
        page = reply.json()
        self.promises.check(
            page["total"] == documents.ITEMS, f"{job}: {page['total']}"
        )
        for position, one in enumerate(page["results"], after):
            if position < len(known):
                self.promises.check(
                    known[position] == one,
                    f"{job} position {position}: {known[position]} is {one}",
                )
            elif position == len(known):
                self._check_result(job, one, least)
                known.append(one)

    def _check_result(
        self, job: str, one: dict[str, typing.Any], least: int
    ) -> None:
        known = [other["id"] for other in self._jobs[job]]
        made = self._there.farm.versions_of(one["id"])
        could = set().union(*made.values())
        route = self._routes[job]
        services = self._there.farm.services_of(one["id"])
        self.promises.check(
            services == {JOB_ROUTES[route]},
            f"{one['id']} of route {route} ran at {services}",
        )
        self.promises.check(
            route != "tuned" or len(one["versions"]) == 1,
            f"{one['id']} of a single-version route: {one['versions']}",
        )
        fits = (
            one["id"] not in known
            and one["state"] == "completed"
            and one["text"] == TEXT
            and one["score"] == f"signed.score-{one['id']}"
            and set(one["versions"]) <= could
            and min(one["versions"], default=0) >= least
        )
        self.promises.check(fits, f"{job}: {one} made under {dict(made)}")

    async def settle(self, limit_s: float) -> None:
        """Waits for what was accepted, and checks what must hold at the end."""
        until = self._there.reactor.seconds() + limit_s
        while self._there.reactor.seconds() < until and self._unread():
            await support.next_turn(0.1)
        self.promises.check(
            not self._unread(), f"jobs that were not finished: {self._unread()}"
        )
        for job in list(self._jobs):
            await self._read_job(job, 1)
        await self._check_documents()
        self._check_requests()
        forged = self._there.farm.forged
        self.promises.check(not forged, f"items with forged headers: {forged}")
        self._check_reports()

    def _unread(self) -> list[str]:
        return [
            job
            for job, read in self._jobs.items()
            if len(read) < documents.ITEMS
        ]

    async def _check_documents(self) -> None:
        newest = 0
        for store in self._there.stores:
            url = self._there.control_url(store) + "/-/config"
            reply = await self._caller.call("GET", url, limit_s=2 * CALL_S)
            status = None if reply is None else reply.status
            self.promises.check(status == 200, f"{store.name}: {reply}")
            if reply is not None and status == 200:
                newest = reply.json()["version"]
                self.promises.check(
                    self.acknowledged <= newest <= self.sent,
                    f"{store.name} holds {newest} at the end, not "
                    f"{self.acknowledged} or newer",
                )
        for entry in self._there.entries:
            url = f"{self._there.front_url(entry)}/of-{newest}/x"
            reply = await self._caller.call(
                "POST", url, b"x", 2.0, x_banyanbank_request_id="last"
            )
            # A server may say that it is full.
            self.promises.check(
                reply is not None and reply.status in (200, 503),
                f"{entry.name} does not serve document {newest}: {reply}",
            )

    def _check_requests(self) -> None:
        for name, status in self._once.items():
            runs = self._there.farm.runs_of(name)
            self.promises.check(runs <= 1, f"{name} ran {runs} times")
            self.promises.check(
                not (runs and status in http.PROMISES_NOT_RUN),
                f"{name} ran, but was answered {status}",
            )

    def _check_reports(self) -> None:
        """One figure a window; one holder a fence, wherever it acts."""
        figures: dict[int, typing.Any] = {}
        holders: dict[int, str] = {}
        acts = [(h, f) for h, f, _ in self._there.farm.api.reports] + [
            (order["holder"], order["fence"])
            for engine in self._there.farm.all_engines
            for order in engine.orders
        ]
        for holder, fence in acts:
            first = holders.setdefault(fence, holder)
            self.promises.check(
                first == holder, f"fence {fence} of {first} and {holder}"
            )
        for _, _, report in self._there.farm.api.reports:
            window = report["window-number"]
            first = figures.setdefault(window, report["counts"])
            self.promises.check(
                first == report["counts"],
                f"window {window}: {first} and {report['counts']}",
            )

    def _shuffled(self, members: list[world.Member]) -> list[world.Member]:
        return self._rng.sample(members, len(members))
