"""Traces of situations that random traces rarely reach."""

import attrs

START = ("run 30", "lead 8", "run 10")
INITIAL_VOTERS = ("abc", "abcde")
END = ("lead 8", "run 30", "mend", "run 100", "lead 8", "settle")


@attrs.frozen
class Scenario:
    """Scripted trace; `*` is the leader, `1#` and `2#` are other voters."""

    name: str
    """Description; mutants refer to a scenario by the start of it."""
    lines: tuple[str, ...]
    """Lines between `START` and `END`."""

    @property
    def trace(self) -> tuple[str, ...]:
        """Complete trace."""
        return START + self.lines + END


def _parse_scenario(name: str, lines: str) -> Scenario:
    return Scenario(
        name, tuple(line.strip() for line in lines.split(";") if line.strip())
    )


SCENARIOS = (
    _parse_scenario(
        "a voter that is cut off asks for votes while the leader is heard",
        "cut * 2#; run 90; lead 8; run 60",
    ),
    _parse_scenario(
        "a voter restarts while it withholds votes and another campaigns",
        "cut * 1#; cut * 2#; cut 1# *; cut 2# *; restart 2#; run 1;"
        "lead 8; run 3; restart 1#; run 60",
    ),
    _parse_scenario(
        "neighbours of a leader restart while a rival campaigns",
        "cut * 2#; cut 2# *; run 70;" + "restart 1#; run 35;" * 30,
    ),
    _parse_scenario(
        "a voter isolated for long campaigns as its neighbour restarts",
        "cut * 2#; cut 2# *; run 70; isolate *; restart 1#; run 70",
    ),
    _parse_scenario(
        "a former leader that follows is asked by a voter that missed it",
        (
            "alias F *; alias W 1#; alias L 2#; crash W; cut F L; run 90; heal;"
            "run 60; alias L *; cut W L; cut L W; restart W; run 30; heal;"
            "run 60;"
        )
        * 4,
    ),
    _parse_scenario(
        "a disk is lost that held the only other copy",
        "cut * 2#; lead 8; run 3; isolate *; wipe 1#; run 150; lead 8; run 9",
    ),
    _parse_scenario(
        "a sync fails after the last other copy was written",
        "cut * 2#; sync_error 1#; lead 8; run 3; isolate *; restart 1#;"
        "run 150; lead 8; run 9",
    ),
    _parse_scenario(
        "the leader is stopped with answers in its backlog",
        "alias P *; slow 0.05; run 20; pause P; run 5; isolate P; run 200;"
        "lead 8; run 20; resume P; run 5",
    ),
    _parse_scenario(
        "stale entries arrive again after newer ones",
        "cut * 2#; noise * 1# 0.0; " + "lead 8; run 1; " * 6 + "isolate *;"
        "run 10; crash *; heal; run 150; lead 8; run 9",
    ),
    _parse_scenario(
        "a stale snapshot arrives again after newer entries",
        "crash 1#; "
        + "lead 8; run 2; " * 14
        + "late * 1#; restart 1#;"
        + "run 4; lead 8; lead 8; lead 8;" * 60
        + "isolate *; run 150",
    ),
    _parse_scenario(
        "a voter crashes after every few entries",
        "lead 8; run 3; restart 1#; run 2; lead 8; run 2; restart 2#; run 9;"
        * 12,
    ),
    _parse_scenario(
        "entries replicated to learners only",
        "add_learner 3#; add_learner 4#; run 20; cut * 1#; cut * 2#; lead 8;"
        "run 3; isolate *; run 150; lead 8; run 9",
    ),
    _parse_scenario(
        "a leader in a minority drops one voter after another",
        "alias P *; alias R 1#; alias S 2#; alias T 3#; alias U 4#;"
        "cut P R; cut P S; cut P T; cut U R; cut U S; cut U T;"
        "cut R P; cut S P; cut T P; cut R U; cut S U; cut T U;"
        "remove_voter R; remove_voter S; lead 8; run 9; lead 8; run 150;"
        "lead 8; run 9",
    ),
    _parse_scenario(
        "reads are asked for all through an election",
        "noise 1# 2# 0.0; noise 2# 1# 0.0; alias R 1#; alias S 2#;"
        "lead 8; run 1; crash *; " + "run 1; confirm; " * 110,
    ),
    _parse_scenario(
        "an entry of an old epoch is on a majority and then replaced",
        "alias P *; alias R 1#; alias S 2#; alias T 3#; alias U 4#; slow 0.1;"
        "isolate P; lead 300; run 1; lead 300; run 1; crash P;"
        "cut S T; cut T S; cut S U; cut U S; cut T U; cut U T; elect;"
        "isolate R; lose; rejoin P; isolate R; restart P; elect;"
        "run 32; isolate P; lose; rejoin R; isolate P; elect; run 30",
    ),
    _parse_scenario(
        "power is cut while a snapshot is installed",
        "alias R 1#; "
        + "lead 8; run 2; " * 12
        + "".join(
            # The new store gets its snapshot once it replaces the lost one,
            # after more than 1 s.
            f"wipe R; cut_power R {operations}; run 100; mend; run 60;"
            "lead 8; run 10; black_out; mend; run 60; lead 8; run 10;"
            for operations in range(3, 13)
        ),
    ),
    _parse_scenario(
        "power is cut while a snapshot is taken",
        "alias P *; alias R 1#; "
        + "".join(
            f"cut_power P {operations} R; " + "lead 8; run 1; " * 12 + "mend;"
            "run 90; lead 8; run 10; black_out; mend; run 60; lead 8; run 10;"
            for operations in range(10, 26, 2)
        ),
    ),
    _parse_scenario(
        "all lose power and the leader its disk while members change",
        "".join(
            f"lead 8; {change}; cut_power {who} {operations} *; run 20;"
            "restart *; run 5; recover; run 90;"
            for change in ("add_voter 3#", "remove_voter 4#", "wipe 2#")
            for who in ("*", "1#")
            for operations in (0, 1, 2)
        ),
    ),
    _parse_scenario(
        "an hour of isolation",
        "exile 1# 20; run 10; exile * 20",
    ),
)
