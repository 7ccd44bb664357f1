"""Starts and ends each scenario's world."""

from tests import support


def after_scenario(context, scenario):
    """Stops everything that a scenario started."""
    world = getattr(context, "world", None)
    if world is not None:
        support.run_async(world.stop)
