"""Lifecycles that are kept as statecharts in `charts/`."""

import functools
import typing

import banyanbank_base as base

_PACKAGE = "banyanbank_consensus"


def make_chart_runner(name: str) -> base.ChartRunner:
    """Returns a runner of one chart, in its first state.

    Args:
        name: File name without `.yaml`.

    Raises:
        ChartError: The file is missing or not a valid chart.
    """
    return base.ChartRunner(_load_chart(name))


@functools.cache
def _load_chart(name: str) -> typing.Any:
    """Reads a chart once; runners share it and do not change it."""
    return base.load_chart(_PACKAGE, name)
