"""Tracks the weights that each engine has loaded, as the leader knows them."""

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs

from banyanbank_node import _ledger_replica


@attrs.define
class _EngineWeights:
    born_ms: int
    versions: dict[str, int] = attrs.Factory(dict)
    loading: set[str] = attrs.Factory(set)


class EngineTable:
    """Combines the announcements of engines with loads seen by the leader.

    Args:
        directory: Endpoints that are considered alive.
        stored: Replicated ledger; its document states which services have
            engines.
    """

    def __init__(
        self,
        directory: gateway.Directory,
        stored: _ledger_replica.LedgerReplica,
    ) -> None:
        self._directory = directory
        self._stored = stored
        self._weights: dict[base.EndpointId, _EngineWeights] = {}

    def get(self, endpoint: base.EndpointId) -> gateway.Announcement | None:
        """Returns the latest announcement of an endpoint, or None."""
        return self._directory.get(endpoint)

    def views(self, service: str | None = None) -> list[jobs.EngineView]:
        """Returns the engines of one service, or of all services."""
        table = self._stored.table
        if table is None:
            return []
        return [
            self._make_view(announcement)
            for announcement in self._directory.all()
            if self._is_engine(announcement, table.document)
            and service in (None, announcement.service)
        ]

    def observe_version(
        self, announcement: gateway.Announcement, model: str, version: int
    ) -> None:
        """Raises the known version of a model; ignores a lower version."""
        versions = self._weights_of(announcement).versions
        versions[model] = max(version, versions.get(model, 0))

    def record_reported_version(
        self, announcement: gateway.Announcement, model: str, version: int
    ) -> None:
        """Replaces the known version of a model by the reported one."""
        self._weights_of(announcement).versions[model] = version

    def begin_load(
        self, announcement: gateway.Announcement, model: str
    ) -> None:
        """Marks a model's weights on an engine as changing."""
        self._weights_of(announcement).loading.add(model)

    def end_load(self, announcement: gateway.Announcement, model: str) -> None:
        """Removes the mark that `begin_load` set."""
        self._weights_of(announcement).loading.discard(model)

    def clear(self) -> None:
        """Discards all recorded versions and loads after a leader change."""
        self._weights.clear()

    def _is_engine(
        self, announcement: gateway.Announcement, document: gateway.Document
    ) -> bool:
        service = document.services.get(announcement.service)
        return service is not None and service.engine is not None

    def _is_ready(self, announcement: gateway.Announcement) -> bool:
        return (
            announcement.state is gateway.EndpointState.READY
            and self._stored.ledger.evacuations.permits(announcement.domain)
        )

    def _make_view(self, announcement: gateway.Announcement) -> jobs.EngineView:
        weights = self._weights_of(announcement)
        versions = {model.name: model.version for model in announcement.models}
        for model, version in weights.versions.items():
            versions[model] = max(version, versions.get(model, 0))
        return jobs.EngineView(
            endpoint=announcement.endpoint,
            service=announcement.service,
            slots=announcement.slots,
            versions=versions,
            is_ready=self._is_ready(announcement),
            loading=frozenset(weights.loading),
            born_ms=announcement.born_ms,
            is_cold=announcement.is_cold,
        )

    def _weights_of(self, announcement: gateway.Announcement) -> _EngineWeights:
        weights = self._weights.get(announcement.endpoint)
        if weights is None or weights.born_ms != announcement.born_ms:
            weights = self._weights[announcement.endpoint] = _EngineWeights(
                announcement.born_ms
            )
        return weights
