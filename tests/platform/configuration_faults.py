"""Faults beside changes of the configuration: named cases and draws."""

import signal
import typing

from twisted.internet import defer

from tests import support
from tests.platform import configuration_observer
from tests.soak import world

Inject = typing.Callable[
    [configuration_observer.Observer, str, str],
    typing.Coroutine[typing.Any, typing.Any, None],
]
"""Injects a fault, given an entry and the leader, and returns when it is
over."""

PAST_MS = 60_000
"""How far clocks are set back."""


def _store_names(observer: configuration_observer.Observer) -> list[str]:
    return [store.name for store in observer.there.stores]


async def _suspend(member: world.Member, seconds: float) -> None:
    member.signal(signal.SIGSTOP)
    await support.next_turn(seconds)
    member.signal(signal.SIGCONT)


async def _restart(
    member: world.Member, down_s: float = 0.0, ahead_ms: int = 0
) -> None:
    """Kills a process and starts it again, with its clock moved."""
    member.kill()
    await support.next_turn(down_s)
    member.clock_ahead_ms += ahead_ms
    member.start()


def _cut_path(
    seconds: float,
    *,
    there: bool = True,
    back: bool = True,
    loses: bool = False,
) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        links = observer.there.links
        if there:
            links.cut([entry], [leader])
        if back:
            links.cut([leader], [entry])
        await support.next_turn(seconds)
        if loses:
            links.silence_between([entry], [leader])
        for one, other in ((entry, leader), (leader, entry)):
            links.way(one, other).heal()

    return inject


def _delay_path(one_way_s: float, seconds: float) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        observer.there.links.delay([entry], [leader], one_way_s)
        await support.next_turn(seconds)
        observer.there.links.delay([entry], [leader], 0.0)

    return inject


def _delay_entry(one_way_s: float, seconds: float) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        del leader
        stores = _store_names(observer)
        observer.there.links.delay([entry], stores, one_way_s)
        await support.next_turn(seconds)
        observer.there.links.delay([entry], stores, 0.0)

    return inject


async def _harm_each_path(
    observer: configuration_observer.Observer, entry: str, leader: str
) -> None:
    """Harms the path of each entry to the leader in another way."""
    del entry
    harms = (
        _cut_path(8.0, back=False),
        _cut_path(8.0, there=False),
        _delay_path(0.5, 8.0),
    )
    await defer.gatherResults(
        defer.ensureDeferred(harm(observer, one.name, leader))
        for harm, one in zip(harms, observer.there.entries, strict=True)
    )


def _flap_path(down_s: float, up_s: float, times: int) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        for _ in range(times):
            await _cut_path(down_s, loses=True)(observer, entry, leader)
            await support.next_turn(up_s)

    return inject


def _isolate_entry(seconds: float) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        links = observer.there.links
        stores = _store_names(observer)
        links.part([entry], stores)
        await support.next_turn(seconds)
        links.silence_between([entry], stores)
        links.heal()

    return inject


def _stop_leader(stopped_s: float, running_s: float, times: int) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        del entry
        for _ in range(times):
            await _suspend(observer.there.members[leader], stopped_s)
            await support.next_turn(running_s)
            leader = observer.leader()

    return inject


def _kill_leader(down_s: float, times: int, ahead_ms: int = 0) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        del entry
        for _ in range(times):
            await _restart(observer.there.members[leader], down_s, ahead_ms)
            await support.next_turn(5.0)
            leader = observer.leader()

    return inject


def _reset_links(every_s: float, times: int) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        del entry, leader
        for _ in range(times):
            observer.there.links.reset()
            await support.next_turn(every_s)

    return inject


def _silence_links(every_s: float, times: int, *, path: bool = False) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        for _ in range(times):
            if path:
                observer.there.links.silence_between([entry], [leader])
            else:
                observer.there.links.silence()
            await support.next_turn(every_s)

    return inject


def _read_while(inject: Inject, readers: int) -> Inject:
    async def read_and_inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        member = observer.there.members[entry]
        await observer.read_results(member, readers)
        await inject(observer, entry, leader)

    return read_and_inject


def _near_store(
    observer: configuration_observer.Observer, entry: str
) -> world.Member:
    """Returns the store in the failure domain of an entry."""
    zone = observer.there.members[entry].settings["zone"]
    [near] = [s for s in observer.there.stores if s.settings["zone"] == zone]
    return near


def _stop_near_store(seconds: float) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        near = _near_store(observer, entry)
        assert near.name != leader
        await _suspend(near, seconds)

    return inject


def _lose_near_store(seconds: float) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        near = _near_store(observer, entry)
        assert near.name != leader
        observer.there.links.isolate(near.name)
        near.kill()
        await support.next_turn(seconds)
        observer.there.links.heal()
        near.start()

    return inject


def _silence_near_store(seconds: float) -> Inject:
    async def inject(
        observer: configuration_observer.Observer, entry: str, leader: str
    ) -> None:
        near = _near_store(observer, entry)
        await _cut_path(seconds)(observer, entry, near.name)

    return inject


async def _restart_entry_in_past(
    observer: configuration_observer.Observer, entry: str, leader: str
) -> None:
    """Restarts an entry with a clock that was set back by a minute.

    The leader knows the entry's newer life; the other stores may not.
    """
    del leader
    await _restart(observer.there.members[entry], ahead_ms=-PAST_MS)
    await support.next_turn(10.0)


async def _let_store_in_past_lead(
    observer: configuration_observer.Observer, entry: str, leader: str
) -> None:
    """Lets a store lead whose newer life only the entries remember."""
    del entry
    past, other = [s for s in observer.there.stores if s.name != leader]
    await _restart(past, ahead_ms=-PAST_MS)
    for store in (other, observer.there.members[leader]):
        await support.next_turn(3.0)
        await _restart(store)
    await support.next_turn(3.0)
    for _ in range(4):
        leading = [
            s for s in observer.there.stores if configuration_observer.leads(s)
        ]
        if past in leading:
            break
        for store in leading:
            await _restart(store, 2.0)
        await support.next_turn(3.0)
    await support.next_turn(8.0)


async def _enlarge_documents(
    observer: configuration_observer.Observer, entry: str, leader: str
) -> None:
    del entry, leader
    observer.padding = 3000
    await support.next_turn(12.0)


async def _move_lead_to_store_in_past(
    observer: configuration_observer.Observer, entry: str, leader: str
) -> None:
    """Restarts a follower with a clock set back, and lets it lead."""
    del entry
    [first, second] = [s for s in observer.there.stores if s.name != leader]
    await _restart(first, ahead_ms=-PAST_MS)
    await support.next_turn(4.0)
    links = observer.there.links
    links.part([leader], [first.name, second.name])
    await support.next_turn(6.0)
    links.heal()


CASES: dict[str, Inject] = {
    "path to the leader silent": _cut_path(8.0),
    "path to the leader silent, its bytes lost": _cut_path(8.0, loses=True),
    "path to the leader silent for 3 s": _cut_path(3.0, loses=True),
    "entry not heard by the leader": _cut_path(8.0, back=False),
    "entry does not hear the leader": _cut_path(8.0, there=False),
    "each path to the leader harmed": _harm_each_path,
    "path to the leader flaps": _flap_path(1.6, 0.3, 5),
    "path delayed by 0.15 s": _delay_path(0.15, 8.0),
    "path delayed by 0.3 s": _delay_path(0.3, 8.0),
    "path delayed by 0.5 s": _delay_path(0.5, 8.0),
    "path delayed by 1 s": _delay_path(1.0, 8.0),
    "all paths of the entry delayed by 0.5 s": _delay_entry(0.5, 8.0),
    "entry isolated": _isolate_entry(6.0),
    "leader stopped for 0.5 s": _stop_leader(0.5, 1.0, 6),
    "leader stopped for 0.9 s": _stop_leader(0.9, 0.4, 6),
    "leader stopped for 2 s": _stop_leader(2.0, 2.0, 4),
    "leader stopped for 3 s": _stop_leader(3.0, 3.0, 3),
    "leader killed": _kill_leader(0.1, 3),
    "leader killed for 2 s": _kill_leader(2.0, 3),
    "leader killed, its clock set back": _kill_leader(0.1, 1, -PAST_MS),
    "entry restarted, its clock set back": _restart_entry_in_past,
    "store in the past leads": _let_store_in_past_lead,
    "documents of 3000 routes": _enlarge_documents,
    "leader's clock was set back": _move_lead_to_store_in_past,
    "near store stopped": _stop_near_store(10.0),
    "near store stopped, results read": _read_while(_stop_near_store(10.0), 6),
    "near store lost, results read": _read_while(_lose_near_store(10.0), 6),
    "path to the near store silent, results read": _read_while(
        _silence_near_store(10.0), 6
    ),
    "results read": _read_while(_reset_links(8.0, 1), 6),
    "links reset": _reset_links(0.5, 16),
    "links reset often": _reset_links(0.1, 80),
    "links go silent": _silence_links(4.0, 3),
    "links go silent often": _silence_links(1.0, 10),
    "path goes silent": _silence_links(4.0, 3, path=True),
    "path goes silent often": _silence_links(1.0, 10, path=True),
}
"""Faults by name."""


Drawn = tuple[str, list[str], typing.Coroutine[typing.Any, typing.Any, None]]
"""What a fault is, whom it concerns, and its injection."""

Draw = typing.Callable[[configuration_observer.Observer], Drawn]
"""Draws a fault."""


def _draw_path_fault(observer: configuration_observer.Observer) -> Drawn:
    rng = observer.rng
    entry = rng.choice(observer.there.entries).name
    store = (
        observer.leader()
        if rng.random() < 0.7
        else rng.choice(observer.there.stores).name
    )
    seconds = rng.choice((0.3, 1.0, 2.0, 4.0, 8.0)) * rng.uniform(0.6, 1.4)
    ways = rng.choice(((True, True), (True, False), (False, True)))
    end = rng.choice(("heals", "resends", "loses"))

    async def inject() -> None:
        links = observer.there.links
        pairs = ((entry, store), (store, entry))
        for (source, target), is_cut in zip(pairs, ways, strict=True):
            if is_cut:
                links.cut([source], [target])
        await support.next_turn(seconds)
        if end == "loses":
            links.silence_between([entry], [store])
        if end == "resends":
            links.heal_resending([entry], [store])
            return
        for source, target in pairs:
            links.way(source, target).heal()

    what = f"path {entry} {store} {ways} {seconds:.2f} s {end}"
    return what, [entry], inject()


def _draw_entry_fault(observer: configuration_observer.Observer) -> Drawn:
    rng = observer.rng
    entry = rng.choice(observer.there.entries)
    seconds = rng.uniform(0.3, 4.0)
    stores = _store_names(observer)
    kind = rng.choice(("stopped", "isolated", "silenced", "delayed"))

    async def inject() -> None:
        links = observer.there.links
        if kind == "silenced":
            links.silence_between([entry.name], stores)
        elif kind == "stopped":
            await _suspend(entry, seconds)
        elif kind == "isolated":
            links.part([entry.name], stores)
            await support.next_turn(seconds)
            links.heal_resending([entry.name], stores)
        else:
            await _delay_entry(0.3, seconds)(observer, entry.name, "")

    return f"{entry.name} {kind} {seconds:.2f} s", [entry.name], inject()


def _draw_store_fault(observer: configuration_observer.Observer) -> Drawn:
    rng = observer.rng
    store = (
        observer.there.members[observer.leader()]
        if rng.random() < 0.7
        else rng.choice(observer.there.stores)
    )
    seconds = rng.choice((0.3, 1.0, 3.0)) * rng.uniform(0.5, 1.5)
    kind = rng.choice(("stopped", "killed", "cut", "reset", "silenced"))

    async def inject() -> None:
        links = observer.there.links
        others = [name for name in observer.there.members if name != store.name]
        if kind == "reset":
            links.reset()
        elif kind == "silenced":
            links.silence()
        elif kind == "stopped":
            await _suspend(store, seconds)
        elif kind == "killed":
            await _restart(store, seconds)
            await support.next_turn(3.0)
        else:
            links.part([store.name], others)
            await support.next_turn(seconds)
            links.heal_resending([store.name], others)

    return f"{store.name} {kind} {seconds:.2f} s", [store.name], inject()


def _draw_silence(observer: configuration_observer.Observer) -> Drawn:
    async def inject() -> None:
        observer.there.links.silence()

    return "all links silent", _store_names(observer), inject()


def _draw_entry_silence(observer: configuration_observer.Observer) -> Drawn:
    stores = _store_names(observer)
    entries = [entry.name for entry in observer.there.entries]

    async def inject() -> None:
        observer.there.links.silence_between(entries, stores)

    return "all links of entries silent", entries, inject()


DRAWS: dict[str, tuple[Draw, ...]] = {
    "entries": (_draw_path_fault, _draw_entry_fault),
    "stores": (_draw_store_fault,),
    "silence": (_draw_silence,),
    "entry silence": (_draw_entry_silence,),
    "all": (_draw_path_fault, _draw_entry_fault, _draw_store_fault),
}
"""Kinds of faults to draw from in a series, by name."""
