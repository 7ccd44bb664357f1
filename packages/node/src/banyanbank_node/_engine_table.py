"""Engines as the leader believes in them."""

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs

from banyanbank_node import _stored


@attrs.define
class _Loaded:
    born_ms: int
    versions: dict[str, int] = attrs.Factory(dict)
    loading: set[str] = attrs.Factory(set)


class EngineTable:
    """Joins what engines announce with what the leader ordered and saw.

    Args:
        directory: Endpoints that are believed to run.
        stored: The log; its document tells which services have engines.
    """

    def __init__(
        self, directory: gateway.Directory, stored: _stored.Stored
    ) -> None:
        self._directory = directory
        self._stored = stored
        self._loaded: dict[base.EndpointId, _Loaded] = {}

    def get(self, endpoint: base.EndpointId) -> gateway.Announcement | None:
        """Returns the newest announcement of an endpoint, or None."""
        return self._directory.get(endpoint)

    def views(self, service: str | None = None) -> list[jobs.EngineView]:
        """Returns all engines, or those of one service."""
        table = self._stored.table
        if table is None:
            return []
        return [
            self._view(said)
            for said in self._directory.all()
            if self._is_engine(said, table.document)
            and service in (None, said.service)
        ]

    def saw_version(
        self, said: gateway.Announcement, model: str, version: int
    ) -> None:
        """Takes in a version that an engine was seen to have."""
        versions = self._entry(said).versions
        versions[model] = max(version, versions.get(model, 0))

    def set_version(
        self, said: gateway.Announcement, model: str, version: int
    ) -> None:
        """Takes in a version that an engine reported of itself."""
        self._entry(said).versions[model] = version

    def begin_load(self, said: gateway.Announcement, model: str) -> None:
        """Notes that an engine is about to change a model's weights."""
        self._entry(said).loading.add(model)

    def end_load(self, said: gateway.Announcement, model: str) -> None:
        """Notes that an engine does not change a model's weights any more."""
        self._entry(said).loading.discard(model)

    def clear(self) -> None:
        """Forgets what was seen; another store leads."""
        self._loaded.clear()

    def _is_engine(
        self, said: gateway.Announcement, document: gateway.Document
    ) -> bool:
        service = document.services.get(said.service)
        return service is not None and service.engine is not None

    def _view(self, said: gateway.Announcement) -> jobs.EngineView:
        seen = self._entry(said)
        versions = {model.name: model.version for model in said.models}
        for model, version in seen.versions.items():
            versions[model] = max(version, versions.get(model, 0))
        return jobs.EngineView(
            endpoint=said.endpoint,
            service=said.service,
            slots=said.slots,
            versions=versions,
            is_ready=said.state is gateway.EndpointState.READY,
            loading=frozenset(seen.loading),
        )

    def _entry(self, said: gateway.Announcement) -> _Loaded:
        seen = self._loaded.get(said.endpoint)
        if seen is None or seen.born_ms != said.born_ms:
            seen = self._loaded[said.endpoint] = _Loaded(said.born_ms)
        return seen
