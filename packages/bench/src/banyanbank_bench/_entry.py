"""An instance as entry: its views of the engines and its choice."""

import collections.abc
import itertools
import random

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch

from banyanbank_bench import _engine
from banyanbank_bench import _queues
from banyanbank_bench import _workload

CACHED_PROMPT_SHARE = 0.45
"""Part of a prompt's cost in tokens of decoding."""


@attrs.define
class Entry:
    """One instance with its router and its view of the engines."""

    number: int
    router: dispatch.Router
    retries: dispatch.RetryPolicy
    turn: collections.abc.Iterator[int]
    alive: bool = True
    views: dict[base.EndpointId, dispatch.Candidate] = attrs.field(factory=dict)

    def choose(
        self,
        policy: _workload.Policy,
        queues: _queues.EngineQueues,
        job: _engine.Job,
        now: float,
    ) -> base.EndpointId | None:
        """Returns the engine for a job; None when none is known."""
        views = [
            view
            for view in self.views.values()
            if view.endpoint_id not in queues.frozen
        ]
        if not views:
            return None
        if policy.routing == "round_robin":
            return views[next(self.turn) % len(views)].endpoint_id
        if policy.routing == "least_reported":
            return min(views, key=lambda v: v.load_tokens).endpoint_id
        work, prompt = job.work, job.prompt_tokens * CACHED_PROMPT_SHARE
        blocks = (work.prefix,) if work.prefix else ()
        query = dispatch.RouteQuery(work.cost_tokens, blocks, prompt)
        if job.start is not None:
            # Samples may take only some of the slots.
            views = [
                attrs.evolve(
                    view,
                    slots=queues.rollout_slots(
                        queues.engines[view.endpoint_id]
                    ),
                )
                for view in views
            ]
        chosen = self.router.choose(query, views, now).unwrap()
        engine_id = chosen.endpoint_id
        self.router.note_sent(work.request_id, engine_id, query, now)
        return engine_id


def entry(
    number: int, domain: str, policy: _workload.Policy, rng: random.Random
) -> Entry:
    """Builds an entry in a failure domain."""
    router = dispatch.Router(
        base.FailureDomain(domain), rng, choices=policy.choices
    )
    retries = dispatch.RetryPolicy(rng)
    return Entry(number, router, retries, itertools.count(number))
