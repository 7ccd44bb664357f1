"""Loads the step definitions, which live beside the features."""

from tests.scenarios import capacity_steps  # noqa: F401
from tests.scenarios import control_steps  # noqa: F401
from tests.scenarios import engine_steps  # noqa: F401
from tests.scenarios import operator_steps  # noqa: F401
from tests.scenarios import platform_steps  # noqa: F401
from tests.scenarios import request_steps  # noqa: F401
from tests.scenarios import rollout_steps  # noqa: F401
from tests.scenarios import weight_steps  # noqa: F401
