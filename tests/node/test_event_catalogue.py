"""Tests that the event catalogue matches the code and the docs."""

import ast
import pathlib
import unittest

import banyanbank_node as node

ROOT = pathlib.Path(__file__).parents[2]
SOURCES = ("packages/node/src", "platform/src")


def find_written_events() -> dict[str, set[str]]:
    """Returns the fields of each event that the sources write."""
    found: dict[str, set[str]] = {}
    for folder in SOURCES:
        for path in (ROOT / folder).rglob("*.py"):
            for call in ast.walk(ast.parse(path.read_text("utf-8"))):
                if isinstance(call, ast.Call) and _is_event_call(call):
                    (name,) = call.args
                    assert isinstance(name, ast.Constant)
                    fields = {str(keyword.arg) for keyword in call.keywords}
                    found.setdefault(str(name.value), set()).update(fields)
    return found


def _is_event_call(call: ast.Call) -> bool:
    return (
        isinstance(call.func, ast.Attribute)
        and call.func.attr == "write"
        and len(call.args) == 1
        and isinstance(call.args[0], ast.Constant)
        and isinstance(call.args[0].value, str)
        and "." in call.args[0].value
    )


class EventCatalogueTest(unittest.TestCase):
    """Code, catalogue and docs/LOGS.md list the same events and fields."""

    def test_code(self) -> None:
        catalogue = {kind.name: set(kind.fields) for kind in node.EVENTS}
        self.assertEqual(find_written_events(), catalogue)

    def test_page(self) -> None:
        page = (ROOT / "docs/LOGS.md").read_text("utf-8")
        for kind in node.EVENTS:
            with self.subTest(kind.name):
                fields = ", ".join(f"`{name}`" for name in kind.fields)
                row = f"| `{kind.name}` | {fields} | {kind.meaning} |"
                self.assertIn(row, page)
