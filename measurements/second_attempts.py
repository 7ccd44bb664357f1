"""Second attempts at shared plain endpoints, in the model of the tests.

python -m measurements.second_attempts

Endpoints finish what was cancelled while it ran, so the cost is an upper bound.
"""

import random
import sys
import typing

import banyanbank_gateway as gateway

from tests.gateway import choice_model

SEEDS = range(1, 9)
SECONDS = 120.0
SHARES = (0.0, 0.02, 0.05, 0.1, 0.2, 0.5)


class Model(choice_model.Model):
    """Model in which entries send second attempts."""

    def __init__(
        self, endpoints: list[choice_model.Endpoint], seed: int, share: float
    ) -> None:
        super().__init__(endpoints, choice_model.choose_weighted, seed)
        rules = gateway.SecondAttemptRules(share)
        self._policies = {
            entry.name: gateway.SecondAttemptPolicy(
                rules, random.Random(100 * seed + number)
            )
            for number, entry in enumerate(self.entries)
        }
        self._latency: gateway.RouteLatency | None = None
        self._updated_at = 0.0
        self._other: dict[int, typing.Any] = {}
        self._seconds: set[int] = set()
        self._ended: set[int] = set()
        self._endpoint_of: dict[int, choice_model.Endpoint] = {}
        self._kept: list[typing.Any] = []
        self.requests = 0
        self.started = 0
        self.won = 0

    def _send(self, req: typing.Any) -> None:
        if req.sender is self.leader:
            super()._send(req)
            return
        policy = self._policies[req.sender.name]
        if not req.tried:
            self.requests += 1
            self._kept.append(req)
            policy.count_request()
        self._ended.discard(id(req))
        super()._send(req)
        if self.now >= self._updated_at + 5.0:
            self._updated_at = self.now
            latencies = gateway.summarize_latencies(self.collector.latencies)
            by_route = {one.route: one for one in latencies}
            self._latency = by_route.get("interactive")
        delay_s = (
            policy.find_delay(self._latency, choice_model.OBJECTIVE_S)
            if policy.is_on
            else None
        )
        if delay_s is not None:
            self._at(
                self.now + delay_s, self._consider, req, req.sent_at, delay_s
            )

    def _consider(self, req: typing.Any, sent_at: float, delay: float) -> None:
        is_over = id(req) in self._ended or id(req) in self._other
        if is_over or req.sent_at != sent_at:
            return
        view = gateway.SharedView(req.sender.figures, lambda target: False)
        picker = req.sender.picker
        ranked = [
            target
            for target in picker.rank(
                self.targets, req.tried, self.now, view=view
            )
            if picker.is_spare(target, self.now, view)
        ]
        policy = self._policies[req.sender.name]
        target = policy.start("service", ranked, self.now)
        if isinstance(target, gateway.Obstacle):
            again_at = 2 * self.now - sent_at
            self._at(again_at, self._consider, req, sent_at, delay)
            return
        second = choice_model._Request(
            req.sender, req.route, req.work_s, req.arrived_at, req.tried
        )
        second.sent_at = self.now
        second.runs = req.runs
        self._kept.append(second)
        self._other[id(req)], self._other[id(second)] = second, req
        self._seconds.add(id(second))
        self.started += 1
        req.tried.add(target.endpoint)
        picker.started(target.endpoint)
        self.result.sent[target.endpoint] += 1
        self._reach(self.endpoints[target.endpoint], second)

    def _reach(self, endpoint: choice_model.Endpoint, req: typing.Any) -> None:
        self._endpoint_of[id(req)] = endpoint
        super()._reach(endpoint, req)

    def _end(
        self, endpoint: choice_model.Endpoint, req: typing.Any, outcome: str
    ) -> None:
        if id(req) in self._ended:
            return
        if req.sender is not self.leader:
            self._ended.add(id(req))
        if id(req) in self._seconds:
            self._policies[req.sender.name].ended(endpoint.target.endpoint)
        if outcome == "rejected" and req.sender is not self.leader:
            policy = self._policies[req.sender.name]
            policy.rejected("service", self.now)
        other = self._other.pop(id(req), None)
        if other is not None and outcome == "answered":
            self._other.pop(id(other), None)
            self.won += id(req) in self._seconds
            self._cancel(other)
        elif other is not None and id(other) not in self._ended:
            # The other attempt decides.
            req.sender.picker.ended(endpoint.target.endpoint)
            if outcome == "failed":
                req.sender.log.record_failure(endpoint.target, req.route)
                req.sender.picker.failed(
                    endpoint.target.endpoint, req.sent_at, self.now
                )
            return
        super()._end(endpoint, req, outcome)

    def _cancel(self, req: typing.Any) -> None:
        self._ended.add(id(req))
        endpoint = self._endpoint_of[id(req)]
        req.sender.picker.ended(endpoint.target.endpoint)
        if id(req) in self._seconds:
            self._policies[req.sender.name].ended(endpoint.target.endpoint)
        for waiting in list(endpoint.waiting):
            if waiting is req:
                endpoint.waiting.remove(waiting)
                break
        took_s = self.now - req.sent_at
        if id(req) not in self._seconds:
            req.sender.log.record_cut(endpoint.target, req.route, took_s)


def _make_endpoints(load: str) -> list[choice_model.Endpoint]:
    endpoints = choice_model.make_endpoints(choice_model.UNEQUAL)
    if load == "fits":
        for one in endpoints[2::3]:
            one.slow_spans = tuple((at, at + 4.0) for at in range(20, 110, 26))
    if load == "failing":
        for one in endpoints[1::4]:
            one.failing_span = (20.0, 110.0)
    return endpoints


def main() -> None:
    """Prints a row for each load and share."""
    for load in ("unequal", "fits", "failing"):
        for share in SHARES:
            times: list[float] = []
            failed = requests = started = won = 0
            for seed in SEEDS:
                model = Model(_make_endpoints(load), seed, share)
                result = model.run(SECONDS)
                times += result.times
                failed += result.failed
                requests += model.requests
                started += model.started
                won += model.won
            times.sort()
            late = failed + sum(
                time > choice_model.OBJECTIVE_S for time in times
            )
            sys.stdout.write(
                f"| {load} | {share} "
                f"| {1000 * sum(times) / len(times):.1f} "
                f"| {1000 * times[int(0.99 * len(times))]:.0f} "
                f"| {1000 * times[int(0.999 * len(times))]:.0f} "
                f"| {late} of {requests} | {started} | {won} |\n"
            )
            sys.stdout.flush()


if __name__ == "__main__":
    main()
