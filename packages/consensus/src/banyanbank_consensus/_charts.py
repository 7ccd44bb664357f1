"""Loads the statecharts in `charts/`."""

import functools
import typing

import banyanbank_base as base

_PACKAGE = "banyanbank_consensus"


def make_chart_runner(name: str) -> base.ChartRunner:
    """Returns a runner of a chart in its initial state.

    Args:
        name: Chart file name without `.yaml`.

    Raises:
        ChartError: The file is missing or not a valid chart.
    """
    return base.ChartRunner(_load_chart(name))


@functools.cache
def _load_chart(name: str) -> typing.Any:
    """Loads a chart once; runners share it and do not modify it."""
    return base.load_chart(_PACKAGE, name)
