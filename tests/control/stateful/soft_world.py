"""Entries, leaders and endpoints that come, go and are cut off."""

import random

import attrs
import banyanbank_control as control

RENEW_S = 0.8
"""Time between two renewals of an endpoint, in seconds."""

LATE_S = 4.0
"""Longest time that an announcement is under way, in seconds."""

LATE_POLL_S = 1.0
"""Longest time that a poll is under way, in seconds: so long a life that has
ended may still look alive to the leader."""

ALONE_S = control.FRESHNESS_S + control.ISOLATED_S
"""Time for which an entry that is cut off uses what it was told, seconds."""

SILENCE_BOUND_S = (
    control.ENDPOINT_TTL_S
    + max(control.RELEARN_S, ALONE_S)
    + 3 * control.POLL_S
)
"""Time after the last announcement by which no entry gives new work, in
seconds: a leave was heard by an instance that is cut off, or by none, and
another was cut off just before it was told, or the leader changed."""

TOLD_BOUND_S = 5 * control.POLL_S
"""The same when all who hear of it are connected, in seconds."""

SETTLE_S = LATE_POLL_S + control.MEMBER_TTL_S + 2 * control.POLL_S
"""Time without faults after which everybody knows everybody, in seconds."""


@attrs.define
class Endpoint:
    """One life of an endpoint."""

    name: str
    incarnation: int = 1
    sequence: int = 0
    left_at: float | None = None
    crashed: bool = False
    due_at: float = 0.0

    @property
    def renews(self) -> bool:
        """Whether it still announces itself."""
        return self.left_at is None and not self.crashed

    def announce(self) -> control.Announcement:
        """Returns its next announcement; who hears it numbers it."""
        self.sequence += 1
        left = self.left_at is not None
        return control.Announcement(
            self.name,
            self.incarnation,
            0,
            control.EndpointKind.ENGINE,
            "10.0.0.1:1",
            "z",
            phase=control.Phase.LEAVING if left else control.Phase.SERVING,
        )


@attrs.define
class Entry:
    """One life of an entry."""

    sync: control.EntrySync
    offset: float
    skew: float
    linked: bool = True
    lost_last: bool = False


class SoftWorld:
    """Polls run on their own while time passes; rules only disturb them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.epoch = 0
        self.config = control.ControlMachine().state.config
        self.entries: dict[str, Entry] = {}
        self.late_polls: list[tuple[float, control.SyncRequest]] = []
        self.lives = dict.fromkeys("xyz", 0)
        for name in "xyz":
            self.restart(name)
        self.endpoints = {name: Endpoint(name) for name in ("e", "f")}
        self.left: dict[tuple[str, int], tuple[float, bool]] = {}
        self.heard_at: dict[tuple[str, int], float] = {}
        self.late: list[tuple[float, control.Announcement]] = []
        self.elect()
        self.calm_since = self.now

    def elect(self) -> None:
        """Puts a new leader in office."""
        self.epoch += 1
        self.resume()

    def resume(self) -> None:
        """Lets a leader go on with empty soft state in the same epoch."""
        self.leader = control.LeaderSync(self.epoch, self.now)
        self.elected_at = self.now
        self.newest: dict[str, int] = {}

    def restart(self, name: str) -> None:
        """Ends a life of an entry and begins the next elsewhere."""
        if name in self.entries:
            old = self.entries[name]
            poll = old.sync.request(self.now + old.offset)
            self.late_polls.append(
                (self.now + self.rng.uniform(0.0, LATE_POLL_S), poll)
            )
        self.lives[name] += 1
        life = self.lives[name]
        member = control.Member(name, life, f"{name}:{life}", "z")
        offset = 1e5 * life + 1e3 * ord(name)
        skew = self.rng.uniform(-1.0, 1.0)
        self.entries[name] = Entry(control.EntrySync(member), offset, skew)
        self.calm_since = self.now

    def link(self, name: str, linked: bool) -> None:
        """Cuts an entry off from the leader, or joins it again."""
        self.entries[name].linked = linked
        self.calm_since = self.now

    def leave(self, name: str) -> None:
        """Lets an endpoint say to one entry that it leaves."""
        endpoint = self.endpoints[name]
        if not endpoint.renews:
            return
        endpoint.left_at = self.now
        hearer = self.hear(endpoint.announce())
        is_told = self.entries[hearer].linked
        self.left[name, endpoint.incarnation] = (self.now, is_told)

    def crash(self, name: str) -> None:
        """Ends an endpoint without a word."""
        endpoint = self.endpoints[name]
        if endpoint.renews:
            endpoint.crashed = True
            self.left[name, endpoint.incarnation] = (self.now, False)

    def start(self, name: str) -> None:
        """Begins the next life of an endpoint."""
        old = self.endpoints[name]
        self.endpoints[name] = Endpoint(name, old.incarnation + 1)
        self.calm_since = self.now

    def hear(
        self, announcement: control.Announcement, repeat: bool = True
    ) -> str:
        """Lets a random entry hear an announcement, perhaps again later."""
        if repeat and self.rng.random() < 0.5:
            at = self.now + self.rng.uniform(0.0, LATE_S)
            self.late.append((at, announcement))
        name = self.rng.choice(sorted(self.entries))
        entry = self.entries[name]
        numbered = attrs.evolve(
            announcement, sequence=int((self.now + entry.skew) * 1000)
        )
        life = (announcement.endpoint, announcement.incarnation)
        self.heard_at[life] = self.now
        now = self.now + entry.offset
        entry.sync.endpoints.heard.hear(numbered, now)
        return name

    def pass_time(self, seconds: float) -> None:
        """Lets polls and renewals run for a while."""
        end = self.now + seconds
        while self.now < end:
            self.now += control.POLL_S
            self._announce()
            self._poll_late()
            self._check_lives()
            self.leader.tick(self.now)
            for entry in self.entries.values():
                self._poll(entry)
            self.check()

    def _announce(self) -> None:
        due = [item for item in self.late if item[0] <= self.now]
        self.late = [item for item in self.late if item[0] > self.now]
        for _, announcement in due:
            self.hear(announcement, repeat=False)
        for endpoint in self.endpoints.values():
            if endpoint.renews and endpoint.due_at <= self.now:
                endpoint.due_at = self.now + RENEW_S
                self.hear(endpoint.announce())

    def _poll_late(self) -> None:
        due = [poll for at, poll in self.late_polls if at <= self.now]
        self.late_polls = [
            item for item in self.late_polls if item[0] > self.now
        ]
        for poll in due:
            self.leader.answer(poll, self.config, self.now)

    def _poll(self, entry: Entry) -> None:
        request = entry.sync.request(self.now + entry.offset)
        if not entry.linked:
            return
        reply = self.leader.answer(request, self.config, self.now)
        # Now and then an answer is lost, but never two in a row.
        entry.lost_last = not entry.lost_last and self.rng.random() < 0.2
        if entry.lost_last:
            return
        entry.sync.take(reply, self.now + entry.offset)

    def check(self) -> None:
        """Checks the promises about endpoints and members."""
        for entry in self.entries.values():
            now = self.now + entry.offset
            serving = {
                (item.endpoint, item.incarnation)
                for item in entry.sync.serving(now)
            }
            self._check_left(entry, serving)
            if self.now - self.calm_since > SETTLE_S and entry.linked:
                self._check_known(entry, serving)

    def _check_left(self, entry: Entry, serving: set[tuple[str, int]]) -> None:
        calm_since = max(self.calm_since, self.elected_at) + SETTLE_S
        for life, (left_at, is_told) in self.left.items():
            heard_at = self.heard_at.get(life, left_at)
            until = max(left_at, heard_at) + SILENCE_BOUND_S
            if is_told and entry.linked and calm_since < left_at:
                until = left_at + TOLD_BOUND_S
            if self.now > until:
                assert life not in serving, f"{life} is gone for long."

    def _check_lives(self) -> None:
        """No life of an instance displaces a later one in one office."""
        for member in self.leader.members.all():
            newest = self.newest.get(member.instance, 0)
            assert member.incarnation >= newest, "A life came back."
            self.newest[member.instance] = member.incarnation

    def _check_known(self, entry: Entry, serving: set[tuple[str, int]]) -> None:
        linked = {
            (name, self.lives[name])
            for name, other in self.entries.items()
            if other.linked
        }
        known = {
            (item.instance, item.incarnation)
            for item in entry.sync.members.all()
        }
        assert known == linked, f"{known} are known of {linked}."
        if len(linked) == len(self.entries):
            for endpoint in self.endpoints.values():
                if endpoint.renews and endpoint.sequence > 2:
                    life = (endpoint.name, endpoint.incarnation)
                    assert life in serving, "A live endpoint is not used."
