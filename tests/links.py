"""Links between instances, each through relays that can cut one direction."""

import collections.abc

from tests import relay

RELAYED = "127.1.0."
"""First three numbers of the addresses at which relays listen."""


class Links:
    """A relay before each instance, which knows callers by their address.

    Args:
        hosts: IP number of each instance; it dials its peers from there.
        port: Port of the instances for each other, and of the relays.
    """

    def __init__(
        self, hosts: collections.abc.Mapping[str, str], port: int
    ) -> None:
        self._names = {host: name for name, host in hosts.items()}
        self._ways = {
            (source, target): relay.Way()
            for source in hosts
            for target in hosts
            if source != target
        }
        self._relays = {
            name: relay.Relay(
                port, _WaysTo(name, self), host, relayed(host), port
            )
            for name, host in hosts.items()
        }

    async def start(self) -> None:
        """Starts all relays."""
        for front in self._relays.values():
            await front.start()

    async def stop(self) -> None:
        """Closes everything."""
        for front in self._relays.values():
            await front.stop()

    def way(self, source: str, target: str) -> relay.Way:
        """Returns one direction between two instances."""
        return self._ways[source, target]

    def name_at(self, host: str) -> str:
        """Returns the instance that dials from an IP number."""
        return self._names[host]

    def cut(
        self,
        sources: collections.abc.Iterable[str],
        targets: collections.abc.Iterable[str],
    ) -> None:
        """Cuts silently, in this direction only."""
        for way in self._between(sources, targets):
            way.cut()

    def isolate(self, name: str) -> None:
        """Cuts an instance off from all others, both ways, silently."""
        self.cut([name], self._relays)
        self.cut(self._relays, [name])

    def part(
        self,
        ones: collections.abc.Sequence[str],
        others: collections.abc.Sequence[str],
    ) -> None:
        """Cuts two groups apart, both ways, silently."""
        self.cut(ones, others)
        self.cut(others, ones)

    def silence(self) -> None:
        """Lets all open connections go silent for good; new ones work."""
        for pair, way in list(self._ways.items()):
            self._ways[pair] = relay.Way(way.delay_s, way.is_cut)
            way.cut()

    def silence_between(
        self,
        ones: collections.abc.Sequence[str],
        others: collections.abc.Sequence[str],
    ) -> None:
        """Lets the open connections of two groups go silent for good."""
        groups = (set(ones), set(others))
        for pair, way in list(self._ways.items()):
            source, target = pair
            if any(
                source in near and target in far
                for near, far in (groups, groups[::-1])
            ):
                self._ways[pair] = relay.Way(way.delay_s, way.is_cut)
                way.cut()

    def delay(
        self,
        ones: collections.abc.Sequence[str],
        others: collections.abc.Sequence[str],
        seconds: float,
    ) -> None:
        """Sets what passing between two groups takes, one way."""
        for way in (
            *self._between(ones, others),
            *self._between(others, ones),
        ):
            way.delay_s = seconds

    def heal(self) -> None:
        """Delivers all that was held back and cuts nothing any more."""
        for way in self._ways.values():
            way.heal()

    def heal_resending(
        self,
        ones: collections.abc.Sequence[str],
        others: collections.abc.Sequence[str],
    ) -> None:
        """Joins two groups; what was held back waits to be sent again."""
        for way in (
            *self._between(ones, others),
            *self._between(others, ones),
        ):
            way.heal_resending()

    def reset(self) -> None:
        """Aborts every connection, so that what was held back is lost."""
        for front in self._relays.values():
            front.reset()

    def _between(
        self,
        sources: collections.abc.Iterable[str],
        targets: collections.abc.Iterable[str],
    ) -> list[relay.Way]:
        wanted = set(targets)
        return [
            self._ways[source, target]
            for source in sources
            for target in wanted
            if source != target
        ]


class _WaysTo:
    """The ways of connections to one instance."""

    def __init__(self, target: str, links: Links) -> None:
        self._target = target
        self._links = links

    def ways_of(self, source: str) -> tuple[relay.Way, relay.Way]:
        name = self._links.name_at(source)
        return (
            self._links.way(name, self._target),
            self._links.way(self._target, name),
        )


def relayed(host: str) -> str:
    """Returns the address of the relay before an instance."""
    return RELAYED + host.rpartition(".")[2]
