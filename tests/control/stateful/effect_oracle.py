"""Oracles for external effects: usage counts, reports, runs and orders."""

import collections

import attrs
import banyanbank_control as control


@attrs.define
class UsageOracle:
    """Counts each flush once and records the frozen windows."""

    served: collections.Counter[str] = attrs.Factory(collections.Counter)
    at_risk: collections.Counter[str] = attrs.Factory(collections.Counter)
    counted: collections.Counter[str] = attrs.Factory(collections.Counter)
    flushes: dict[tuple[str, int, int], control.AddUsage] = attrs.Factory(dict)
    frozen: dict[int, control.Window] = attrs.Factory(dict)
    reports: dict[int, control.UsageReport] = attrs.Factory(dict)

    def record_flush(self, cmd: control.AddUsage, reply: control.Reply) -> None:
        """Records the counts of a committed flush."""
        recorded = self.flushes.get(
            (cmd.instance, cmd.incarnation, cmd.sequence)
        )
        if recorded is not None:
            assert recorded == cmd, "A flush was resent with other counts."
            return
        if isinstance(reply, control.Rejected):
            assert reply.reason is control.RejectReason.STALE, reply
            return
        assert isinstance(reply, control.UsageAdded), reply
        self.flushes[cmd.instance, cmd.incarnation, cmd.sequence] = cmd
        for delta in cmd.deltas:
            self.counted[delta.account] += delta.figures.calls

    def check(
        self, state: control.UsageState, buffered: collections.Counter[str]
    ) -> None:
        """Checks the committed windows against the recorded counts."""
        total: collections.Counter[str] = collections.Counter()
        for window in (*state.closed.values(), state.open):
            for account, figures in window.figures.items():
                total[account] += figures.calls
        assert total == self.counted, (
            "The windows differ from the sum of the flushes."
        )
        for account, served in self.served.items():
            counted = self.counted[account]
            assert counted <= served, "A request was counted twice."
            lost = served - counted - buffered[account]
            assert lost <= self.at_risk[account], "Counts were lost."
        for number, window in state.closed.items():
            recorded = self.frozen.setdefault(number, window)
            is_same = attrs.evolve(window, status=recorded.status) == recorded
            assert is_same, "A frozen window changed."

    def accept_report(self, report: control.UsageReport) -> None:
        """Accepts a report as the platform does."""
        recorded = self.reports.setdefault(report.window, report)
        assert recorded == report, "A window was reported with other figures."
        figures = {row.account: row.figures for row in report.rows}
        assert figures == dict(self.frozen[report.window].figures)


@attrs.define
class RunOracle:
    """Executions of non-idempotent requests, by account and idempotency key."""

    kept_until: dict[tuple[str, str], float] = attrs.Factory(dict)
    answers: dict[tuple[str, str], bytes] = attrs.Factory(dict)

    def run(
        self, cmd: control.BeginIntent, kept_until: float, now: float
    ) -> bytes:
        """Executes a request at an endpoint and returns its answer."""
        name = (cmd.account, cmd.idempotency_key)
        ran_before = now < self.kept_until.get(name, float("-inf"))
        assert not ran_before, "A non-idempotent request ran twice."
        self.kept_until[name] = kept_until
        self.answers[name] = f"{cmd.request_id}@{now}".encode()
        return self.answers[name]

    def check_replay(
        self, cmd: control.BeginIntent, reply: control.IntentReplay
    ) -> None:
        """Checks that a replayed answer equals the original one."""
        name = (cmd.account, cmd.idempotency_key)
        assert reply.answer == self.answers.get(name), (
            "The replayed answer belongs to another execution."
        )


@attrs.define
class OrderOracle:
    """Platform that accepts endpoint orders."""

    orders: dict[str, control.OrderRequest] = attrs.Factory(dict)
    live: dict[str, str] = attrs.Factory(dict)

    def accept_order(self, effect: control.SendOrder, accept: bool) -> bool:
        """Accepts an order and returns whether the platform executes it."""
        key = effect.order.idempotency_key
        request = effect.order.request
        if key not in self.orders:
            assert request.need not in self.live, "A need was ordered twice."
            if accept:
                self.live[request.need] = key
        recorded = self.orders.setdefault(key, request)
        assert recorded == request, "An order was resent with other content."
        return self.live.get(request.need) == key

    def close(self, need: str) -> None:
        """Ends the live order of a need."""
        self.live.pop(need, None)
