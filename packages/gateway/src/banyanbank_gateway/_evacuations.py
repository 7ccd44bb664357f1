"""Failure domains to whose endpoints nothing is sent; no I/O.

Answers the load that operators move away from a failure domain before work on
it, or because it fails in ways that its endpoints do not show.
"""

import attrs
import banyanbank_base as base

MAX_READMITTED = 256
"""Number of readmissions that are remembered; the oldest are dropped."""


@attrs.frozen
class Evacuations:
    """Evacuated failure domains, as operators ordered."""

    revision: int = 0
    """Number of changes so far; identifies the state."""
    domains: tuple[base.FailureDomain, ...] = ()
    """Evacuated domains, sorted."""
    readmitted: dict[base.FailureDomain, float] = attrs.Factory(dict)
    """Unix time of the latest readmission of each domain that was evacuated
    before, from the oldest to the newest."""

    def permits(self, domain: base.FailureDomain) -> bool:
        """Whether requests may be sent to the endpoints of a domain."""
        return domain not in self.domains

    def evacuate(self, domain: base.FailureDomain) -> "Evacuations":
        """Returns the state in which a domain is evacuated.

        Args:
            domain: The domain; the state stays as it is if it is evacuated.
        """
        if domain in self.domains:
            return self
        return Evacuations(
            self.revision + 1,
            tuple(sorted((*self.domains, domain))),
            _without(self.readmitted, domain),
        )

    def readmit(self, domain: base.FailureDomain, at: float) -> "Evacuations":
        """Returns the state in which a domain is no longer evacuated.

        Args:
            domain: The domain; the state stays as it is unless it is evacuated.
            at: Unix time of the readmission.
        """
        if domain not in self.domains:
            return self
        readmitted = _without(self.readmitted, domain) | {domain: at}
        if len(readmitted) > MAX_READMITTED:
            del readmitted[next(iter(readmitted))]
        return Evacuations(
            self.revision + 1,
            tuple(other for other in self.domains if other != domain),
            readmitted,
        )


def _without(
    times: dict[base.FailureDomain, float], domain: base.FailureDomain
) -> dict[base.FailureDomain, float]:
    return {other: at for other, at in times.items() if other != domain}
