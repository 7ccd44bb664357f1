"""Tables of the statecharts in `charts/`, so that a start does not parse them.

Written by `python -m tests.consensus.chart_tables`; change the charts instead.
"""

import banyanbank_base as base

TABLES = {
    "node": base.ChartTable(
        name="node",
        initial="new",
        transitions={
            "failed": {},
            "new": {
                "fail": "failed",
                "start": "running",
            },
            "running": {
                "fail": "failed",
                "stop": "stopped",
            },
            "stopped": {},
        },
    ),
    "role": base.ChartTable(
        name="role",
        initial="follower",
        transitions={
            "candidate": {
                "election_timed_out": "pre-candidate",
                "election_won": "leader",
                "epoch_opened": "candidate",
                "follow": "follower",
            },
            "follower": {
                "election_timed_out": "pre-candidate",
                "epoch_opened": "candidate",
                "follow": "follower",
            },
            "leader": {
                "follow": "follower",
            },
            "pre-candidate": {
                "election_timed_out": "pre-candidate",
                "epoch_opened": "candidate",
                "follow": "follower",
            },
        },
    ),
}
