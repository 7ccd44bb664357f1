"""Configurations as an operator sends them."""

import typing

from lab import deployment

PLAIN = "app"
"""Service of the scorers."""


def engine_service(name: str, models: tuple[str, ...] = ("m0",)) -> typing.Any:
    """Returns a service of model servers, without servers to order."""
    return {
        "name": name,
        "health-path": "/health",
        "max-connections": 140,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 8,
            "kv-tokens": 60_000,
            "kv-token-bytes": 327_680,
            "models": [{"name": model} for model in models],
        },
    }


def rollout_route(
    name: str, service: str, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Returns a route for batch jobs."""
    return {
        "name": name,
        "host": deployment.HOST,
        "path-prefix": f"/{name}/",
        "type": "rollout",
        "timeout-ms": 10_000,
        "target-latency-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 3,
        "due-ms": 7500,
        "item-ttl-s": 40,
        "sticky": True,
        "public": False,
    } | fields


def plain_route(name: str, kind: str) -> dict[str, typing.Any]:
    """Returns a route to the plain service."""
    return {
        "name": name,
        "host": deployment.HOST,
        "path-prefix": f"/{name}/",
        "type": kind,
        "timeout-ms": 1500,
        "target-latency-ms": 200,
        "priority": 2,
        "service": PLAIN,
        "max-attempts": 4,
        "public": False,
    }


def config(
    version: int,
    routes: list[dict[str, typing.Any]],
    engine_services: list[str],
) -> dict[str, typing.Any]:
    """Returns a configuration with a route to the scorers besides."""
    plain_service = {
        "name": PLAIN,
        "health-path": "/health",
        "max-connections": 110,
        "protocol": "h1",
        "tls": False,
    }
    return {
        "version": version,
        "routes": [*routes, plain_route("score", "idempotent")],
        "services": [*map(engine_service, engine_services), plain_service],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": "tenant-1", "api-keys": [deployment.KEY], "priority": 1}
        ],
    }
