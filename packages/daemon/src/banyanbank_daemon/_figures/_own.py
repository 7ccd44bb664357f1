"""The figures of this instance, put together."""

import typing

import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_rollout as rollout

from banyanbank_daemon import _rollout_plane
from banyanbank_daemon._figures import _accounts
from banyanbank_daemon._figures import _endpoints
from banyanbank_daemon._figures import _messages
from banyanbank_daemon._figures import _trainers

Withheld = typing.Callable[[], tuple[_messages.WithheldVersion, ...]]


class OwnFigures:
    """Reads what this instance has counted.

    Args:
        instance: This instance.
        trainers: Waits of trainers.
        accounts: Waits of client accounts.
        endpoints: Time of endpoints; None on an instance that is no voter.
        node: The log here; None on an instance that is no voter.
        plane: The sample ledger.
        withheld: Returns what engines do not get yet; asked while leading.
    """

    def __init__(
        self,
        instance: base.InstanceId,
        trainers: _trainers.TrainerWaits,
        accounts: _accounts.AccountWaits,
        endpoints: _endpoints.EndpointTime | None,
        node: consensus.LogNode | None,
        plane: _rollout_plane.RolloutPlane,
        withheld: Withheld,
    ) -> None:
        self._instance = instance
        self._trainers = trainers
        self._accounts = accounts
        self._endpoints = endpoints
        self._node = node
        self._plane = plane
        self._withheld = withheld

    def read(self) -> _messages.InstanceFigures:
        """Returns the figures as they are now."""
        is_leader = self._node is not None and self._node.lease_held()
        endpoints = self._endpoints
        return _messages.InstanceFigures(
            instance=self._instance,
            is_leader=is_leader,
            trainers=self._trainers.figures(),
            accounts=self._accounts.figures(),
            endpoints=() if endpoints is None else endpoints.figures(),
            steps=_steps(self._plane.ledger) if is_leader else (),
            refused=self._accounts.refused_figures(),
            withheld=self._withheld() if is_leader else (),
        )


def _steps(ledger: rollout.Ledger) -> tuple[_messages.StepFigures, ...]:
    return tuple(
        _messages.StepFigures(
            trainer=step.trainer,
            step=step.step,
            recorded=len(step.samples),
            open=step.wanted - len(step.samples),
            oldest_age=ledger.oldest_age(step),
            is_formed=step.batch is not None,
        )
        for step in ledger.steps()
    )
