"""Identifier types; each is a plain string or number with its own name."""

import typing

InstanceId = typing.NewType("InstanceId", str)
"""Names one banyanbankd process slot; stable over restarts."""

Incarnation = typing.NewType("Incarnation", int)
"""Tells two lives of one instance apart; drawn anew at each start."""

FailureDomain = typing.NewType("FailureDomain", str)
"""Names a set of machines that may be lost together."""

AccountId = typing.NewType("AccountId", str)
"""Names a client account."""

KeyId = typing.NewType("KeyId", str)
"""Names a key; public, unlike the key's secret."""

EndpointId = typing.NewType("EndpointId", str)
"""Names a model engine or a plain service replica."""

ModelName = typing.NewType("ModelName", str)
"""Names a model that callers and trainers ask for."""

TrainerId = typing.NewType("TrainerId", str)
"""Names a trainer."""

RequestId = typing.NewType("RequestId", str)
"""Names one request of a caller; unique over all instances."""

WeightVersion = typing.NewType("WeightVersion", int)
"""Numbers a published set of weights of one model, rising by one."""
