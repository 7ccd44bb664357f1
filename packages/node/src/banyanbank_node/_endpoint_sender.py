"""Sends requests to endpoints, unless their failure domain is evacuated."""

import collections.abc

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_web as web
from returns import result

from banyanbank_node import _endpoint_requests
from banyanbank_node import _ports


@attrs.frozen
class EndpointSender:
    """Only way from a process to the endpoints.

    The decision is taken when a request is sent, so a request that was waiting
    when an operator evacuated a domain is held back, too.
    """

    upstream: web.Upstream
    """HTTP client."""
    find_evacuations: collections.abc.Callable[[], gateway.Evacuations]
    """Returns the evacuations that this process knows."""
    composer: _endpoint_requests.RequestComposer
    """Decides which headers the endpoints get."""

    def may_send(self, target: gateway.Announcement) -> bool:
        """Whether an endpoint may be sent to now."""
        return self.find_evacuations().permits(target.domain)

    async def send(
        self, target: gateway.Announcement, req: _ports.EndpointRequest
    ) -> result.Result[web.UpstreamResponse, web.UpstreamError]:
        """Sends a request and returns its answer once the headers are there.

        Args:
            target: Endpoint that the request is for.
            req: Request to it.
        """
        if not self.may_send(target):
            return result.Failure(
                web.UpstreamError(
                    base.Outcome.NOT_RUN,
                    f"The failure domain {target.domain} is evacuated.",
                    is_withheld=True,
                )
            )
        return await self.upstream.send(self.composer.compose(target, req))

    def close_idle(self, target: gateway.Announcement) -> None:
        """Closes the idle connections to an endpoint."""
        self.upstream.close_idle(f"http://{target.address}")
