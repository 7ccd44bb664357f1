"""Runs the statecharts in `charts/` from their tables."""

import banyanbank_base as base

from banyanbank_consensus import _chart_tables


def make_chart_runner(name: str) -> base.TableRunner:
    """Returns a runner of a chart in its initial state.

    Args:
        name: Chart file name without `.yaml`.

    Raises:
        KeyError: There is no table of that name.
    """
    return base.TableRunner(_chart_tables.TABLES[name])
