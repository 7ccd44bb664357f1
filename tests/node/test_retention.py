"""Tests of removing batch jobs past their retention time."""

import types
import typing
import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from banyanbank_node import _retention_duty

from tests.jobs import samples

RETENTION_S = 150.0


class RetentionTest(unittest.TestCase):
    """Closed jobs are removed after the retention time; open ones stay."""

    def test_which_jobs_are_removed(self) -> None:
        for name, age_s, is_ended, is_removed in (
            ("ended, retention time over", 151.0, True, True),
            ("ended, within retention time", 149.0, True, False),
            ("open, retention time over", 151.0, False, False),
        ):
            with self.subTest(name):
                clock = base.ManualClock(age_s)
                ledger = jobs.Ledger()
                job = samples.make_job("j")
                ledger.jobs["j"] = jobs.JobState(job, [], is_ended=is_ended)
                proposed: list[jobs.Command] = []

                async def propose(
                    command: jobs.Command,
                    proposed: list[jobs.Command] = proposed,
                ) -> None:
                    proposed.append(command)

                duty = _retention_duty.RetentionDuty(
                    clock,
                    gateway.SyncedClock(clock),
                    typing.cast(
                        typing.Any,
                        types.SimpleNamespace(ledger=ledger, propose=propose),
                    ),
                    RETENTION_S,
                    typing.cast(typing.Any, None),
                )
                duty.tick()
                duty.tick()
                self.assertEqual(len(proposed), int(is_removed))
                for command in proposed:
                    ledger.apply(1, jobs.COMMAND_CODEC.encode(command))
                self.assertEqual("j" in ledger.jobs, not is_removed)
