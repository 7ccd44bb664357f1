"""Outage state: models that are out of service until they are repaired."""

import attrs
import banyanbank_base as base
import immutables

ModelVersions = immutables.Map[base.ModelName, base.WeightVersion]


@attrs.frozen
class ModelOutage:
    """One outage as stored in a snapshot."""

    endpoint: base.EndpointId
    """Engine that has the model."""
    model: base.ModelName
    """Model that is out of service."""
    required_version: base.WeightVersion
    """Weight version that must be reported before the model serves again."""


@attrs.frozen
class OutageRecord:
    """Outage state as stored in a snapshot."""

    outages: tuple[ModelOutage, ...] = ()
    """All outages, sorted by engine and model."""
    epoch: int = 0
    """Highest control epoch seen."""


@attrs.frozen
class OutageState:
    """All engines with at least one model out of service."""

    engines: immutables.Map[base.EndpointId, ModelVersions] = attrs.Factory(
        immutables.Map
    )
    """Required weight version by engine and model."""
    epoch: int = 0
    """Highest control epoch seen; commands of earlier epochs are rejected."""

    def required(
        self, endpoint: base.EndpointId, model: base.ModelName
    ) -> base.WeightVersion | None:
        """Returns the required version, or None if the model is in service."""
        return self.engines.get(endpoint, immutables.Map()).get(model)

    def get_models_out_of_service(
        self, endpoint: base.EndpointId
    ) -> tuple[base.ModelName, ...]:
        """Returns the models of an engine that are out of service, sorted."""
        return tuple(sorted(self.engines.get(endpoint, ())))

    def with_outage(
        self,
        endpoint: base.EndpointId,
        model: base.ModelName,
        required: base.WeightVersion | None,
    ) -> "OutageState":
        """Returns a copy with one outage set or cleared.

        Args:
            endpoint: Engine that has the model.
            model: Model to take out of service or return to service.
            required: Weight version that ends the outage; None clears it.
        """
        models: ModelVersions = self.engines.get(endpoint, immutables.Map())
        if required is not None:
            models = models.set(model, required)
        elif model in models:
            models = models.delete(model)
        if models:
            engines = self.engines.set(endpoint, models)
        elif endpoint in self.engines:
            engines = self.engines.delete(endpoint)
        else:
            engines = self.engines
        return attrs.evolve(self, engines=engines)

    def to_record(self) -> OutageRecord:
        """Returns the record to store in a snapshot."""
        outages = tuple(
            ModelOutage(endpoint, model, self.engines[endpoint][model])
            for endpoint in sorted(self.engines)
            for model in sorted(self.engines[endpoint])
        )
        return OutageRecord(outages, self.epoch)

    @classmethod
    def from_record(cls, record: OutageRecord) -> "OutageState":
        """Restores the state from a snapshot record."""
        state = cls(epoch=record.epoch)
        for outage in record.outages:
            state = state.with_outage(
                outage.endpoint, outage.model, outage.required_version
            )
        return state
