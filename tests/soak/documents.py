"""Documents, announcements and batch jobs that the soak sends."""

import copy
import json
import typing

from tests.platform import deployment

ITEMS = 4
"""Items of a batch job."""
COLD_S = 6.0
"""Seconds for which servers are cold after their start."""
COLD_PER_S = 2.0
"""Requests a second that a cold server takes; low, so that the load of the soak
would exceed the bound without it."""
INVALID_CHANGES: tuple[dict[str, typing.Any], ...] = (
    {"service": "none"},
    {"timeout-ms": 0},
    {"path-prefix": "/plain/"},
    {"traffic-split": [{"service": "plain", "weight": 0}]},
    {
        "service": "none",
        "traffic-split": [{"service": "plain", "weight": 1}],
    },
)
"""Changes of a route that make its document invalid."""
FORGED_HEADERS = {
    "X-Banyanbank-Tenant": "account-2",
    "AUTHORIZATION": "Token key-1",
    "Transfer-Encoding": "chunked",
    "Last-Event-Id": "2",
}
"""Headers of items that only the system may state."""
ODD_ANNOUNCEMENT = (
    b'{"service": "\xed\xa0\x80", "address": "127.0.0.1:9", "zone": "zone-a",'
    b' "slots": 4, "state": "ready", "sequence": 1, "born": 1}'
)
"""An announcement whose service is not Unicode text."""


def make_document(number: int) -> dict[str, typing.Any]:
    """Returns a document with a route that no other document has.

    It has a second rollout route with engines of its own.
    """
    document = copy.deepcopy(deployment.DOCUMENT) | {"version": number}
    for service in document["services"]:
        service |= {"cold-start-s": COLD_S, "cold-per-s": COLD_PER_S}
    for group, name, changes in (
        ("services", "engines", {"name": "tuned"}),
        (
            "routes",
            "jobs",
            {
                "name": "tuned",
                "path-prefix": "/tuned/",
                "service": "tuned",
                "single-version": True,
            },
        ),
    ):
        (found,) = [one for one in document[group] if one["name"] == name]
        document[group].append(copy.deepcopy(found) | changes)
    mark = dict(document["routes"][0])
    mark |= {"name": f"of-{number}", "path-prefix": f"/of-{number}/"}
    document["routes"].append(mark)
    return document


def make_job(job: str, version: int, route: str) -> bytes:
    """Returns a batch job whose items have ids of their own."""
    made = json.loads(deployment.make_job(ITEMS, max(1, version - 1)))
    for number, one in enumerate(made["requests"]):
        one["id"] = f"{job}-{number}"
        one["path"] = f"/{route}/x/{number}"
        one["scorer"]["id"] = f"score-{one['id']}"
        one["headers"] |= FORGED_HEADERS
    return json.dumps(made).encode()
