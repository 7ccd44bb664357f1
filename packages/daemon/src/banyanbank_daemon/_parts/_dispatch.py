"""Builds what sends requests to engines."""

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch
import banyanbank_mesh as mesh
import banyanbank_web as web

from banyanbank_daemon import _dispatcher
from banyanbank_daemon import _figures
from banyanbank_daemon import _fleet
from banyanbank_daemon import _jobs
from banyanbank_daemon._parts import _control
from banyanbank_daemon._parts import _surroundings

COMPARED_ENGINES = 16
"""Engines that a router compares for one request."""


@attrs.frozen
class DispatchParts:
    """Dispatch as one instance does it."""

    upstream: web.Upstream
    """HTTP client."""
    queues: _jobs.EngineQueues
    """Queues of the engines owned here."""
    fleet: _fleet.Fleet
    """Endpoints and their owners."""
    router: dispatch.Router
    """Chooses endpoints."""
    retries: dispatch.RetryPolicy
    """Decides about further attempts."""
    dispatcher: _dispatcher.Dispatcher
    """Runs model requests."""
    waits: _figures.AccountWaits
    """Waits for the engines owned here."""
    looks: _jobs.EngineLooks
    """Passes reports of engines on and asks their owners."""

    def follow_engines(self) -> None:
        """Hands back queued work of engines that leave; resizes others."""
        self.fleet.directory.note_change()
        for gone in self.fleet.forget_gone():
            self.router.remove_endpoint(gone)
            self.queues.owned.remove_endpoint(gone)
        serving = {
            announcement.endpoint for announcement in self.fleet.serving()
        }
        for endpoint in list(self.queues.queues):
            if endpoint not in serving:
                self.queues.retire(endpoint)
                continue
            streams = self.fleet.directory.slots_of(endpoint)
            queue = self.queues.queues[endpoint]
            queue.set_slots(streams.slots, streams.reserve)


def build_dispatch(
    around: _surroundings.Surroundings,
    identity: _surroundings.Identity,
    domain: base.FailureDomain,
    transport: mesh.Mesh,
    control_parts: _control.ControlParts,
) -> DispatchParts:
    """Builds the parts of dispatch."""
    clock = around.clock
    upstream = web.Upstream(around.reactor, clock)
    directory = _fleet.Directory(identity.name, clock, control_parts.entry)
    waits = _figures.AccountWaits(clock)
    queues = _jobs.EngineQueues(
        around.reactor,
        clock,
        lambda endpoint: _new_queue(endpoint, directory.slots_of(endpoint)),
        control_parts.entry.authenticator,
        waits,
    )
    server = _jobs.GrantServer(queues)
    transport.on_stream(_jobs.GRANT_METHOD, server.serve_grant)
    transport.on_call(_jobs.RELEASE_METHOD, server.serve_release)
    engines = _jobs.EngineClient(
        clock, upstream, around.recorder, directory.url_of
    )
    fleet = _fleet.Fleet(
        clock,
        directory,
        _jobs.LocalJobRunner(clock, queues, engines),
        lambda peer: _jobs.RemoteJobRunner(transport, peer, clock, engines),
    )
    router = dispatch.Router(domain, around.rng, choices=COMPARED_ENGINES)
    retries = dispatch.RetryPolicy(around.rng)
    looks = _build_looks(clock, transport, queues, fleet, router)
    dispatcher = _dispatcher.Dispatcher(
        around.reactor,
        clock,
        fleet,
        router,
        retries,
        control_parts.usage,
        looks.note_prompt,
    )
    return DispatchParts(
        upstream, queues, fleet, router, retries, dispatcher, waits, looks
    )


def _build_looks(
    clock: base.Clock,
    transport: mesh.Mesh,
    queues: _jobs.EngineQueues,
    fleet: _fleet.Fleet,
    router: dispatch.Router,
) -> _jobs.EngineLooks:
    def learn(
        look: _jobs.EngineLook, blocks: tuple[str, ...], asked_at: float
    ) -> None:
        endpoint = base.EndpointId(look.endpoint)
        if look.load is not None:
            fleet.note_queue(endpoint, look.load)
        if look.held is not None:
            router.prefixes.merge_report(endpoint, blocks, look.held, asked_at)

    directory = fleet.directory
    server = _jobs.LookServer(clock, directory, queues)
    transport.on_call(_jobs.LOOK_METHOD, server.serve_look)
    transport.on_call(_jobs.REPORT_METHOD, server.serve_report)
    return _jobs.EngineLooks(
        clock, transport, directory, server, fleet.engine_candidates, learn
    )


def _new_queue(
    endpoint: str, streams: _fleet.EngineSlots
) -> dispatch.EngineQueue:
    return dispatch.EngineQueue(
        base.EndpointId(endpoint),
        dispatch.QueueSettings(
            slots=streams.slots, reserved_interactive_slots=streams.reserve
        ),
    )
