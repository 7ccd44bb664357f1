"""Simulation of entries, leaders and endpoints that restart or disconnect."""

import random

import attrs
import banyanbank_control as control

ANNOUNCE_INTERVAL_S = 0.8
"""Interval between two announcements of an endpoint, in seconds."""

MAX_ANNOUNCEMENT_DELAY_S = 4.0
"""Maximum delay of a duplicate announcement, in seconds."""

MAX_POLL_DELAY_S = 1.0
"""Maximum delay of a poll, in seconds.

For that long, an ended incarnation may still appear alive to the leader.
"""

ISOLATED_USE_S = control.FRESHNESS_S + control.ISOLATION_GRACE_S
"""Time for which an isolated entry uses its last state, in seconds."""

REMOVAL_BOUND_S = (
    control.ENDPOINT_TTL_S
    + max(control.RELEARN_GRACE_S, ISOLATED_USE_S)
    + 3 * control.POLL_INTERVAL_S
)
"""Time after the last announcement until no entry uses an endpoint, in seconds.

Covers a leave that no connected instance received, an entry that was cut off
just before the update reached it, and a change of the leader.
"""

CONNECTED_REMOVAL_BOUND_S = 5 * control.POLL_INTERVAL_S
"""The same bound if all entries involved are connected, in seconds."""

SETTLE_S = MAX_POLL_DELAY_S + control.MEMBER_TTL_S + 2 * control.POLL_INTERVAL_S
"""Time without faults after which all entries know each other, in seconds."""


@attrs.define
class Endpoint:
    """One incarnation of an endpoint."""

    name: str
    incarnation: int = 1
    sequence: int = 0
    left_at: float | None = None
    has_crashed: bool = False
    due_at: float = 0.0

    @property
    def is_announcing(self) -> bool:
        """Whether the endpoint still sends announcements."""
        return self.left_at is None and not self.has_crashed

    def announce(self) -> control.Announcement:
        """Returns the next announcement; its receiver sets the sequence."""
        self.sequence += 1
        is_leaving = self.left_at is not None
        return control.Announcement(
            self.name,
            self.incarnation,
            0,
            control.EndpointKind.ENGINE,
            "10.0.0.1:1",
            "z",
            phase=control.Phase.LEAVING
            if is_leaving
            else control.Phase.SERVING,
        )


@attrs.define
class Entry:
    """One incarnation of an entry."""

    sync: control.EntrySync
    offset: float
    skew: float
    linked: bool = True
    has_lost_last_reply: bool = False


class SoftWorld:
    """Runs polls and announcements as time advances; rules inject faults."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.epoch = 0
        self.config = control.ControlMachine().state.config
        self.entries: dict[str, Entry] = {}
        self.delayed_polls: list[tuple[float, control.SyncRequest]] = []
        self.incarnations = dict.fromkeys("xyz", 0)
        for name in "xyz":
            self.restart(name)
        self.endpoints = {name: Endpoint(name) for name in ("e", "f")}
        self.ended: dict[tuple[str, int], tuple[float, bool]] = {}
        self.last_heard_at: dict[tuple[str, int], float] = {}
        self.delayed_announcements: list[
            tuple[float, control.Announcement]
        ] = []
        self.elect()
        self.quiet_since = self.now

    def elect(self) -> None:
        """Elects a new leader with a new epoch."""
        self.epoch += 1
        self.resume()

    def resume(self) -> None:
        """Resumes the leadership in the same epoch with empty soft state."""
        self.leader = control.LeaderSync(self.epoch, self.now)
        self.elected_at = self.now
        self.newest_incarnations: dict[str, int] = {}

    def restart(self, name: str) -> None:
        """Restarts an entry as a new incarnation at another address."""
        if name in self.entries:
            old = self.entries[name]
            poll = old.sync.request(self.now + old.offset)
            self.delayed_polls.append(
                (self.now + self.rng.uniform(0.0, MAX_POLL_DELAY_S), poll)
            )
        self.incarnations[name] += 1
        incarnation = self.incarnations[name]
        member = control.Member(name, incarnation, f"{name}:{incarnation}", "z")
        offset = 1e5 * incarnation + 1e3 * ord(name)
        skew = self.rng.uniform(-1.0, 1.0)
        self.entries[name] = Entry(control.EntrySync(member), offset, skew)
        self.quiet_since = self.now

    def link(self, name: str, linked: bool) -> None:
        """Connects an entry to the leader or disconnects it."""
        self.entries[name].linked = linked
        self.quiet_since = self.now

    def leave(self, name: str) -> None:
        """Makes an endpoint announce to one entry that it leaves."""
        endpoint = self.endpoints[name]
        if not endpoint.is_announcing:
            return
        endpoint.left_at = self.now
        receiver = self.deliver_announcement(endpoint.announce())
        is_connected = self.entries[receiver].linked
        self.ended[name, endpoint.incarnation] = (self.now, is_connected)

    def crash(self, name: str) -> None:
        """Stops an endpoint without an announcement."""
        endpoint = self.endpoints[name]
        if endpoint.is_announcing:
            endpoint.has_crashed = True
            self.ended[name, endpoint.incarnation] = (self.now, False)

    def start(self, name: str) -> None:
        """Starts the next incarnation of an endpoint."""
        old = self.endpoints[name]
        self.endpoints[name] = Endpoint(name, old.incarnation + 1)
        self.quiet_since = self.now

    def deliver_announcement(
        self, announcement: control.Announcement, repeat: bool = True
    ) -> str:
        """Delivers an announcement to a random entry and returns its name.

        With `repeat`, a delayed duplicate may follow.
        """
        if repeat and self.rng.random() < 0.5:
            at = self.now + self.rng.uniform(0.0, MAX_ANNOUNCEMENT_DELAY_S)
            self.delayed_announcements.append((at, announcement))
        name = self.rng.choice(sorted(self.entries))
        entry = self.entries[name]
        sequenced = attrs.evolve(
            announcement, sequence=int((self.now + entry.skew) * 1000)
        )
        incarnation_key = (announcement.endpoint, announcement.incarnation)
        self.last_heard_at[incarnation_key] = self.now
        now = self.now + entry.offset
        entry.sync.endpoints.heard.merge_announcement(sequenced, now)
        return name

    def pass_time(self, seconds: float) -> None:
        """Advances the time, with polls and announcements."""
        end = self.now + seconds
        while self.now < end:
            self.now += control.POLL_INTERVAL_S
            self._send_announcements()
            self._deliver_delayed_polls()
            self._check_member_incarnations()
            self.leader.tick(self.now)
            for entry in self.entries.values():
                self._poll(entry)
            self.check()

    def _send_announcements(self) -> None:
        due = [
            item for item in self.delayed_announcements if item[0] <= self.now
        ]
        self.delayed_announcements = [
            item for item in self.delayed_announcements if item[0] > self.now
        ]
        for _, announcement in due:
            self.deliver_announcement(announcement, repeat=False)
        for endpoint in self.endpoints.values():
            if endpoint.is_announcing and endpoint.due_at <= self.now:
                endpoint.due_at = self.now + ANNOUNCE_INTERVAL_S
                self.deliver_announcement(endpoint.announce())

    def _deliver_delayed_polls(self) -> None:
        due = [poll for at, poll in self.delayed_polls if at <= self.now]
        self.delayed_polls = [
            item for item in self.delayed_polls if item[0] > self.now
        ]
        for poll in due:
            self.leader.answer(poll, self.config, self.now)

    def _poll(self, entry: Entry) -> None:
        request = entry.sync.request(self.now + entry.offset)
        if not entry.linked:
            return
        reply = self.leader.answer(request, self.config, self.now)
        # A reply is lost at random, but never two in a row.
        entry.has_lost_last_reply = (
            not entry.has_lost_last_reply and self.rng.random() < 0.2
        )
        if entry.has_lost_last_reply:
            return
        entry.sync.apply_reply(reply, self.now + entry.offset)

    def check(self) -> None:
        """Checks the invariants of endpoints and members."""
        for entry in self.entries.values():
            now = self.now + entry.offset
            serving = {
                (item.endpoint, item.incarnation)
                for item in entry.sync.serving(now)
            }
            self._check_ended(entry, serving)
            if self.now - self.quiet_since > SETTLE_S and entry.linked:
                self._check_convergence(entry, serving)

    def _check_ended(self, entry: Entry, serving: set[tuple[str, int]]) -> None:
        settled_at = max(self.quiet_since, self.elected_at) + SETTLE_S
        for incarnation_key, (left_at, is_connected) in self.ended.items():
            last_heard_at = self.last_heard_at.get(incarnation_key, left_at)
            deadline = max(left_at, last_heard_at) + REMOVAL_BOUND_S
            if is_connected and entry.linked and settled_at < left_at:
                deadline = left_at + CONNECTED_REMOVAL_BOUND_S
            if self.now > deadline:
                assert incarnation_key not in serving, (
                    f"{incarnation_key} has ended but still gets new work."
                )

    def _check_member_incarnations(self) -> None:
        """Asserts that no incarnation replaces a later one within a term."""
        for member in self.leader.members.all():
            newest = self.newest_incarnations.get(member.instance, 0)
            assert member.incarnation >= newest, (
                "An ended incarnation is a member again."
            )
            self.newest_incarnations[member.instance] = member.incarnation

    def _check_convergence(
        self, entry: Entry, serving: set[tuple[str, int]]
    ) -> None:
        linked = {
            (name, self.incarnations[name])
            for name, other in self.entries.items()
            if other.linked
        }
        known = {
            (item.instance, item.incarnation)
            for item in entry.sync.members.all()
        }
        assert known == linked, f"Members are {known}, expected {linked}."
        if len(linked) == len(self.entries):
            for endpoint in self.endpoints.values():
                if endpoint.is_announcing and endpoint.sequence > 2:
                    incarnation_key = (endpoint.name, endpoint.incarnation)
                    assert incarnation_key in serving, (
                        "A live endpoint is not serving."
                    )
