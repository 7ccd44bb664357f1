"""Cold endpoints as a store knows them."""

import collections.abc

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _event_log
from banyanbank_node import _ledger_replica
from banyanbank_node import _meters


class ColdEndpoints:
    """Decides which announced endpoints a store takes for cold.

    The directory holds the decision, so that entries learn of it through their
    polls. Costs nothing while no service of the document states a rate for
    cold endpoints.

    Args:
        clock: Monotonic clock.
        true_time: Estimated Unix time, in which domains are readmitted.
        stored: Replicated ledger; its document states the rates, and it has the
            readmissions.
        directory: Endpoints that are considered alive.
        events: Event log.
        meters: Metrics of the process.
    """

    def __init__(
        self,
        clock: base.Clock,
        true_time: gateway.SyncedClock,
        stored: _ledger_replica.LedgerReplica,
        directory: gateway.Directory,
        events: _event_log.EventLog,
        meters: _meters.Meters,
    ) -> None:
        self._clock = clock
        self._true_time = true_time
        self._stored = stored
        self._directory = directory
        self._events = events
        self._meters = meters
        self._applied_readmissions: dict[base.FailureDomain, float] = {}
        self._cold_since: dict[base.EndpointId, float] = {}
        # Reports in force, until a newer announcement arrives.
        self._reported: dict[base.EndpointId, gateway.ColdReport] = {}
        # Newest reports that had entries receive the directory again.
        self._refuted: dict[base.EndpointId, gateway.ColdReport] = {}
        self._seen_revision = -1

    def find_rate(self, target: gateway.Announcement) -> float | None:
        """Returns the requests a second that a cold endpoint takes.

        None means that the endpoint is not cold, or its service states none.
        """
        newest = self._directory.get(target.endpoint)
        if (
            newest is None
            or not newest.is_cold
            or newest.born_ms != target.born_ms
        ):
            return None
        return self._find_service_rate(newest)

    def drop_unused(
        self, announcement: gateway.Announcement
    ) -> gateway.Announcement:
        """Drops the cold state if the endpoint's service states no rate.

        Earlier releases cannot read it. A store that has just started may know
        no document, or an old one, until it knows a leader; it leaves the
        decision to the leader, which judges what it receives.
        """
        if self._stored.node.leader is None:
            return announcement
        return self._drop_without_rate(announcement)

    def judge(self, announcement: gateway.Announcement) -> gateway.Announcement:
        """Returns a received announcement with the state that is assumed."""
        announcement = self._drop_without_rate(announcement)
        if self._is_older_than_report(announcement):
            return attrs.evolve(announcement, is_cold=True)
        readmissions = self._stored.ledger.evacuations.readmitted
        if (
            not readmissions
            or announcement.is_cold
            or self._find_service_rate(announcement) is None
            or not gateway.may_be_cold(
                announcement, self._true_time.now(), readmissions
            )
        ):
            return announcement
        return attrs.evolve(announcement, is_cold=True)

    def apply_readmissions(self) -> bool:
        """Takes the endpoints of domains that have been readmitted for cold.

        Returns:
            Whether the directory has changed.
        """
        readmissions = self._stored.ledger.evacuations.readmitted
        if readmissions == self._applied_readmissions:
            return False
        old_revision = self._directory.revision
        self._applied_readmissions = dict(readmissions)
        for announcement in self._directory.all():
            heard_at = self._directory.heard_at(announcement.endpoint)
            if (
                heard_at is not None
                and self._find_service_rate(announcement) is not None
                and gateway.may_be_cold(
                    announcement, self._true_time.at(heard_at), readmissions
                )
            ):
                self._directory.mark_cold(announcement.endpoint)
        return self._directory.revision != old_revision

    def apply_reports(
        self,
        reports: collections.abc.Iterable[gateway.ColdReport],
        led_since: float,
    ) -> bool:
        """Takes the endpoints for cold that an entry knows to be.

        Their next announcements that are newer than the reports decide again.
        If this store knows a newer one already, it has entries receive it; the
        directory has not changed since they received one that was older.

        Args:
            reports: What the entry knows.
            led_since: When the lease of this store began, on the monotonic
                clock.

        Returns:
            Whether the directory has changed.
        """
        old_revision = self._directory.revision
        for report in reports:
            known = self._directory.get(report.endpoint)
            heard_at = self._directory.heard_at(report.endpoint)
            if (
                known is None
                or heard_at is None
                or self._find_service_rate(known) is None
            ):
                continue
            if not gateway.is_refuted(report, known, heard_at >= led_since):
                _keep_newest(self._reported, report)
                self._directory.mark_cold(report.endpoint)
            elif _keep_newest(self._refuted, report):
                self._directory.send_again()
        return self._directory.revision != old_revision

    def observe(self) -> collections.abc.Collection[base.EndpointId]:
        """Logs which endpoints became cold or warm; returns the cold ones."""
        if self._seen_revision == self._directory.revision:
            return self._cold_since.keys()
        self._seen_revision = self._directory.revision
        for reports in (self._reported, self._refuted):
            for endpoint in list(reports):
                if self._directory.get(endpoint) is None:
                    del reports[endpoint]
        now = self._clock.now()
        cold = {
            announcement.endpoint: announcement
            for announcement in self._directory.all()
            if announcement.is_cold
        }
        for endpoint in self._cold_since.keys() - cold.keys():
            self._events.write(
                "endpoint.warm",
                endpoint=endpoint,
                is_known=self._directory.get(endpoint) is not None,
                cold_ms=round(1000 * (now - self._cold_since.pop(endpoint))),
            )
        for endpoint in cold.keys() - self._cold_since.keys():
            self._cold_since[endpoint] = now
            self._events.write(
                "endpoint.cold",
                endpoint=endpoint,
                domain=cold[endpoint].domain,
                service=cold[endpoint].service,
                rate_per_s=self._find_service_rate(cold[endpoint]),
            )
        self._meters.cold_endpoints.set(len(cold))
        return self._cold_since.keys()

    def stop_observing(self) -> None:
        """Forgets what was logged; the next leader logs the cold endpoints."""
        self._meters.cold_endpoints.set(0)
        self._cold_since.clear()
        self._reported.clear()
        self._refuted.clear()
        self._seen_revision = -1

    def count_decision(
        self,
        targets: collections.abc.Iterable[gateway.Announcement],
        is_granted: bool,
    ) -> None:
        """Counts a decision about permits if a cold endpoint is concerned."""
        if any(target.is_cold for target in targets):
            self._meters.cold_permits.add(
                1, "granted" if is_granted else "refused"
            )

    def _is_older_than_report(self, announcement: gateway.Announcement) -> bool:
        """Whether an entry knows a newer announcement, of a cold endpoint."""
        report = self._reported.get(announcement.endpoint)
        if report is None:
            return False
        if announcement.order_key > report.order_key:
            del self._reported[announcement.endpoint]
            return False
        return self._find_service_rate(announcement) is not None

    def _drop_without_rate(
        self, announcement: gateway.Announcement
    ) -> gateway.Announcement:
        if (
            not announcement.is_cold
            or self._stored.table is None
            or self._find_service_rate(announcement) is not None
        ):
            return announcement
        return attrs.evolve(announcement, is_cold=False)

    def _find_service_rate(
        self, announcement: gateway.Announcement
    ) -> float | None:
        table = self._stored.table
        return gateway.find_cold_rate(
            None if table is None else table.document, announcement.service
        )


def _keep_newest(
    reports: dict[base.EndpointId, gateway.ColdReport],
    report: gateway.ColdReport,
) -> bool:
    """Keeps a report unless one as new is kept; returns whether it does."""
    kept = reports.get(report.endpoint)
    if kept is not None and kept.order_key >= report.order_key:
        return False
    reports[report.endpoint] = report
    return True
