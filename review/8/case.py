"""A removal of a server arrives after the server has started again.

Two model servers are stopped as planned and started again under their ids, one
after the other. Each reports that it drains, removes its registration, moves on
to the next store when the first does not answer within a second, exits, and
registers anew. With the disruption, the path to the first store is slow, so the
first removal, which names the former life, arrives seconds late. A step is
submitted while the second server's new life is in use.
"""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab2"))

import lab

LATE_S = 4.0
DRAIN_S = 2.0
RESTART_S = 0.5
ITEMS = 24
GROUP = 4
UNBEGUN_S = 5.0
SETTLE_S = 3.0


class SlowPath:
    """Passes calls on to a store, some seconds late.

    Args:
        system: The deployment.
        address: Where servers connect.
        store: Address of the store.
    """

    def __init__(self, system: lab.Lab, address: str, store: str) -> None:
        self.address = address
        self._system = system
        self._store = store
        self._listening: asyncio.Server | None = None
        self._pending: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens."""
        host, _, port = self.address.rpartition(":")
        self._listening = await asyncio.start_server(
            self._accept, host, int(port)
        )

    async def stop(self) -> None:
        """Closes the listener and drops what is on its way."""
        if self._listening is not None:
            self._listening.close()
        for task in self._pending:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # What was sent arrives even if its sender no longer waits.
        first, headers = await lab.read_head(reader)
        body = await lab.read_body(reader, headers)
        method, target, _ = first.split(" ", 2)
        task = asyncio.create_task(self._deliver(method, target, body))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        await reader.read()
        writer.close()

    async def _deliver(self, method: str, target: str, body: bytes) -> None:
        await asyncio.sleep(LATE_S)
        reply = await lab.call(self._store, method, target, [], body)
        self._system.record.write(
            "late call arrived", call=f"{method} {target}", status=reply.status
        )


async def remove(
    system: lab.Lab, server: lab.Server, stores: list[str]
) -> None:
    """Removes the registration of a server's present life."""
    body = json.dumps(
        {"born": server.born, "sequence": server.sequence + 1}
    ).encode()
    for address in stores:
        reply = await lab.call(
            address, "DELETE", f"/-/instances/{server.name}", [], body, 1.0
        )
        system.record.write(
            "removal", server=server.name, born=server.born, status=reply.status
        )
        if reply.status // 100 == 2:
            return


async def restart(
    system: lab.Lab, server: lab.Server, stores: list[str]
) -> None:
    """Stops a server as planned and starts it again under its id."""
    server.state = "draining"
    await server.beat()
    await asyncio.sleep(DRAIN_S + 0.2)
    server.stop_beating()
    await remove(system, server, stores)
    await server.stop()
    await asyncio.sleep(RESTART_S)
    server.state = "ready"
    server.born = int(time.time() * 1000)
    server.sequence = 0
    await server.start()
    system.record.write("restarted", server=server.name, born=server.born)


async def read_results(system: lab.Lab) -> list[dict[str, object]]:
    """Returns the results of the step so far."""
    page = await lab.call(
        system.front[1],
        "GET",
        "/-/lots/step-1?after=0",
        lab.client_headers("read"),
    )
    return page.json()["results"] if page.status == 200 else []


async def case(system: lab.Lab) -> int:
    """Restarts both servers, submits a step and waits until its time is up."""
    await system.start(lab.make_document())
    await system.add_server("plain-app")
    engines = [
        await system.add_server(
            "model-pool", is_engine=True, events=27, event_s=0.1
        )
        for _ in range(2)
    ]
    await system.until_served()
    stores = list(system.control)
    slow = SlowPath(
        system, f"{system.net}.91:{system.relay_port}", system.control[0]
    )
    await slow.start()
    if lab.has_trouble():
        stores[0] = slow.address
    await restart(system, engines[0], stores)
    await asyncio.sleep(LATE_S)
    await restart(system, engines[1], stores)
    await asyncio.sleep(0.3)
    items = [
        lab.make_item(f"item-{n}", group=f"group-{n // GROUP}")
        for n in range(ITEMS)
    ]
    sent_at = system.now()
    reply = await lab.call(
        system.front[0],
        "POST",
        "/rollout/step-1",
        lab.client_headers("step-1", 12000),
        lab.make_job(items),
        10.0,
    )
    system.record.write("sent", step="step-1", status=reply.status)
    if reply.status != 202:
        raise lab.CannotRunError(f"the step got {reply.status}")
    # Its results are due after 7.5 s; items may be given up after 12 s.
    while system.now() < sent_at + 13.5:
        await asyncio.sleep(0.5)
        results = await read_results(system)
        if len(results) == ITEMS:
            break
    await slow.stop()
    return judge(system, engines, results, system.now() - sent_at)


def judge(
    system: lab.Lab,
    engines: list[lab.Server],
    results: list[dict[str, object]],
    took_s: float,
) -> int:
    """Returns whether items were at no server until the step's time was up."""
    begun = {req.request_id for engine in engines for req in engine.ran}
    last_at = max(
        (req.at for engine in engines for req in engine.ran), default=0.0
    )
    unbegun = [f"item-{n}" for n in range(ITEMS) if f"item-{n}" not in begun]
    idle_s = system.now() - last_at
    system.record.write(
        "step over",
        took_s=round(took_s, 2),
        begun=len(begun),
        at_no_server=unbegun,
        seconds_since_last_start=round(idle_s, 2),
        states=[result["state"] for result in results],
    )
    if not begun:
        raise lab.CannotRunError("no item of the step had begun")
    if unbegun and idle_s > UNBEGUN_S + SETTLE_S:
        system.record.write("LOST", items=unbegun)
        return lab.BROKEN
    return lab.HELD


if __name__ == "__main__":
    lab.main(case, str(pathlib.Path(__file__).parent))
