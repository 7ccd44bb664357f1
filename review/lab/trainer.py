"""A trainer: submits batch jobs, reads their results and ends them."""

import asyncio
import base64
import contextlib
import itertools
import json
import time
import typing

from lab import deployment
from lab import wire

SUBMIT_TIMEOUT_S = 3.0
READ_WAIT_MS = 1000
READ_TIMEOUT_S = 2.5
POLL_S = 0.5


class Step:
    """One batch job of a trainer.

    Args:
        system: Deployment that runs it.
        route: Name of its route.
        job: Id of the batch job.
        min_version: Oldest version of the weights that may generate its texts.
        groups: Number of groups.
        size: Items in each group.
        events: Events of each text.
    """

    def __init__(
        self,
        system: deployment.Deployment,
        route: str,
        job: str,
        *,
        min_version: int = 1,
        groups: int = 4,
        size: int = 4,
        events: int = 20,
        number: int = 0,
    ) -> None:
        self._system = system
        self._route = route
        self.job = job
        self.items = [
            f"{job}{group:02x}{item:02x}"
            for group, item in itertools.product(range(groups), range(size))
        ]
        for item in self.items:
            system.texts.length[item] = events
        self._body = {
            "step": number,
            "model": "m0",
            "min-version": min_version,
            "desired-count": groups,
            "requests": [self._make_item(item, events) for item in self.items],
        }
        self.results: dict[str, dict[str, typing.Any]] = {}
        self.submitted_at = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether all items are listed."""
        return len(self.results) == len(self.items)

    @property
    def missing(self) -> list[str]:
        """Items that are not listed."""
        return [item for item in self.items if item not in self.results]

    async def submit(self) -> None:
        """Submits the batch job until it is accepted.

        Raises:
            CannotRunError: It was not accepted.
        """
        self.submitted_at = time.monotonic()
        body = json.dumps(self._body).encode()
        headers = self._headers() | {
            "X-Banyanbank-Request-Id": self.job,
            "X-Banyanbank-Deadline-Ms": "12000",
            "Content-Type": "application/json",
        }
        for address in self._system.front_addresses * 3:
            with contextlib.suppress(*wire.BROKEN):
                resp = await wire.call(
                    address,
                    "POST",
                    f"/{self._route}/{self.job}",
                    headers,
                    body,
                    SUBMIT_TIMEOUT_S,
                )
                self._note("submitted", status=resp.status)
                if resp.status == 202:
                    return
            await asyncio.sleep(0.5)
        raise deployment.CannotRunError(f"{self.job} was not accepted")

    async def read(self, deadline: float) -> bool:
        """Reads results until all are listed; False if the time is up."""
        numbers = itertools.count()
        while not self.is_complete and time.monotonic() < deadline:
            addresses = self._system.front_addresses
            address = addresses[next(numbers) % len(addresses)]
            with contextlib.suppress(*wire.BROKEN):
                await self._read_page(address)
            await asyncio.sleep(POLL_S)
        self._note("read", listed=len(self.results), missing=self.missing)
        return self.is_complete

    async def end(self) -> None:
        """Ends the batch job."""
        for address in self._system.front_addresses * 2:
            with contextlib.suppress(*wire.BROKEN):
                resp = await wire.call(
                    address, "DELETE", f"/-/lots/{self.job}", self._headers()
                )
                self._note("ended", status=resp.status)
                if resp.status == 200:
                    return

    async def _read_page(self, address: str) -> None:
        after = len(self.results)
        resp = await wire.call(
            address,
            "GET",
            f"/-/lots/{self.job}?after={after}",
            self._headers() | {"X-Banyanbank-Wait-Ms": str(READ_WAIT_MS)},
            timeout_s=READ_TIMEOUT_S,
        )
        if resp.status != 200:
            self._note("read failed", status=resp.status)
            return
        for result in resp.json()["results"]:
            self.results[result["id"]] = result
            self._note(
                "listed",
                item=result["id"],
                state=result["state"],
                versions=result["versions"],
            )

    def _headers(self) -> dict[str, str]:
        return {
            "Host": deployment.HOST,
            "Authorization": f"Token {deployment.KEY}",
        }

    def _make_item(self, item: str, events: int) -> dict[str, typing.Any]:
        prompt = f"{item[:-2]}:260,{item}:16"
        return {
            "id": item,
            "path": f"/{self._route}/{item}",
            "headers": {
                "X-Banyanbank-Model": "m0",
                "X-Banyanbank-Token-Usage": f"276,{events}",
                "X-Banyanbank-Prompt-Prefix": prompt,
                "X-Banyanbank-Length-Hint": str(events),
            },
            "body": base64.b64encode(b"prompt " + item.encode()).decode(),
            "tokens": 276 + events,
            "group": item[:-2],
            "scorer": {
                "id": f"5c0{item}",
                "host": deployment.HOST,
                "path": f"/score/{item}",
                "body": base64.b64encode(b"score").decode(),
            },
        }

    def _note(self, what: str, **fields: typing.Any) -> None:
        self._system.notes.note(f"job {what}", job=self.job, **fields)
