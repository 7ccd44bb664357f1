"""The sample ledger as the daemon uses it."""

import banyanbank_base as base
import banyanbank_control as control
import banyanbank_rollout as rollout
from returns import result

from banyanbank_daemon import _control_plane


class RolloutPlane:
    """Commits ledger commands and reads the ledger.

    Args:
        plane: Way to the replicated log.
        machine: State machine here; None on an instance that is no voter.
        authenticator: Holds the configuration.
    """

    def __init__(
        self,
        plane: _control_plane.ControlPlane,
        machine: control.ControlMachine | None,
        authenticator: control.Authenticator,
    ) -> None:
        self._plane = plane
        self._machine = machine
        self._authenticator = authenticator

    @property
    def ledger(self) -> rollout.Ledger:
        """The newest committed ledger here; empty where no log is kept."""
        if self._machine is None:
            return rollout.Ledger()
        return self._machine.state.rollouts

    async def propose_rollout(
        self, command: rollout.LedgerCommand, deadline: float
    ) -> rollout.LedgerReply | None:
        """Commits a ledger command; None when that is not confirmed."""
        wrapped = control.RolloutCommand.wrap(command)
        proposed = await self._plane.propose(wrapped, deadline)
        if isinstance(proposed, result.Failure):
            return None
        reply = proposed.unwrap()
        if isinstance(reply, control.RolloutReply):
            return reply.reply()
        return rollout.LedgerRefused(
            rollout.LedgerRefusal.INVALID, f"The log rejected it: {reply}"
        )

    def account_of(self, trainer: base.TrainerId) -> base.AccountId | None:
        """Returns a trainer's account; None when it is not declared."""
        declared = self.trainer(trainer)
        return None if declared is None else declared.account

    def weight_of(self, account: base.AccountId) -> float:
        """Returns a client account's weight in fair scheduling."""
        return self._authenticator.view.weight_of(account)

    def trainer(self, name: base.TrainerId) -> control.Trainer | None:
        """Returns a trainer's declaration; None when there is none."""
        item = self._authenticator.view.get(control.Kind.TRAINER, name)
        return item if isinstance(item, control.Trainer) else None
