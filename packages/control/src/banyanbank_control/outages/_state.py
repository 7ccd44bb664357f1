"""Models of engines that are out of service until they are repaired."""

import attrs
import banyanbank_base as base
import immutables

ModelVersions = immutables.Map[base.ModelName, base.WeightVersion]


@attrs.frozen
class ModelOutage:
    """One mark as a snapshot holds it."""

    endpoint: base.EndpointId
    """The engine."""
    model: base.ModelName
    """The model."""
    required_version: base.WeightVersion
    """Version that it has to report before it serves again."""


@attrs.frozen
class OutageRecord:
    """Outages as a snapshot holds them."""

    outages: tuple[ModelOutage, ...] = ()
    """Every mark, sorted by engine and model."""
    epoch: int = 0
    """Highest control epoch seen."""


@attrs.frozen
class OutageState:
    """Every engine with a model out of service."""

    engines: immutables.Map[base.EndpointId, ModelVersions] = attrs.Factory(
        immutables.Map
    )
    """Versions that models have to report before they serve again."""
    epoch: int = 0
    """Highest control epoch seen: commands of earlier ones are refused."""

    def required(
        self, endpoint: base.EndpointId, model: base.ModelName
    ) -> base.WeightVersion | None:
        """Returns the version awaited; None when the model is in service."""
        return self.engines.get(endpoint, immutables.Map()).get(model)

    def models_out(
        self, endpoint: base.EndpointId
    ) -> tuple[base.ModelName, ...]:
        """Returns the models of an engine that are out of service, sorted."""
        return tuple(sorted(self.engines.get(endpoint, ())))

    def with_mark(
        self,
        endpoint: base.EndpointId,
        model: base.ModelName,
        required: base.WeightVersion | None,
    ) -> "OutageState":
        """Returns the state with a model out of service or back."""
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

    def record(self) -> OutageRecord:
        """Returns the outages for a snapshot."""
        outages = tuple(
            ModelOutage(endpoint, model, self.engines[endpoint][model])
            for endpoint in sorted(self.engines)
            for model in sorted(self.engines[endpoint])
        )
        return OutageRecord(outages, self.epoch)

    @classmethod
    def from_record(cls, record: OutageRecord) -> "OutageState":
        """Returns the outages that a snapshot holds."""
        state = cls(epoch=record.epoch)
        for one in record.outages:
            state = state.with_mark(
                one.endpoint, one.model, one.required_version
            )
        return state
