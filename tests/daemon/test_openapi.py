"""The committed description names exactly the routes that are served."""

import pathlib
import re
import typing
import unittest
import unittest.mock

from banyanbank_daemon import _listeners
import yaml

DESCRIPTION = pathlib.Path(__file__).parents[2] / "docs" / "openapi.yaml"
METHODS = ("get", "post", "put", "delete", "patch")


class OpenApiTest(unittest.TestCase):
    """Description and route table agree, both ways."""

    def test_routes_are_described(self) -> None:
        parts: typing.Any = unittest.mock.MagicMock()
        routes = _listeners.caller_routes(parts, parts, parts, parts, parts)
        served = {
            (
                "get" if route.method == "*" else route.method.lower(),
                re.sub(r"\.\.\.\}", "}", route.path),
            )
            for route in routes
        }
        document = yaml.safe_load(DESCRIPTION.read_text(encoding="utf-8"))
        described = {
            (method, path)
            for path, operations in document["paths"].items()
            for method in operations
            if method in METHODS
        }
        self.assertEqual(served, described)
