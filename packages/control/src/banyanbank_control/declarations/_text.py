"""Parses and writes the text form: sorted YAML, suited to version control."""

import collections.abc
import re

import returns.result
import yaml

from banyanbank_control.declarations import _collector
from banyanbank_control.declarations import _columns
from banyanbank_control.declarations import _errors
from banyanbank_control.declarations import _models
from banyanbank_control.declarations import _sheet

_PLAIN_SCALAR_PATTERN = re.compile(r"[A-Za-z0-9/][A-Za-z0-9./_ -]*")


def export_text(declared: _models.Declarations) -> str:
    """Returns YAML with one block per item that parses back unchanged."""
    lines: list[str] = []
    for spec in _columns.ROW_SPECS:
        items = getattr(declared, spec.group)
        if items:
            lines.append(f"{spec.group}:")
        for item in items:
            lines.extend(_format_block(item))
    return "\n".join(lines) + "\n" if lines else "{}\n"


def _format_block(item: _models.Item) -> collections.abc.Iterator[str]:
    prefix = "  - "
    for heading, text in _columns.format_item(item).items():
        yield f"{prefix}{heading}: {_format_scalar(text)}"
        prefix = "    "


def _format_scalar(text: str) -> str:
    # The parser ignores the types of YAML scalars, so `1` needs no quotes.
    if _PLAIN_SCALAR_PATTERN.fullmatch(text):
        return text
    escaped = text.replace("'", "''")
    return f"'{escaped}'"


class _TextParser:
    """Parses one text file and collects its items and errors."""

    def __init__(self, file: str) -> None:
        self.collector = _collector.ItemCollector(file, "line")
        self.add_error = self.collector.add_error

    def parse_document(self, root: yaml.Node | None) -> None:
        """Parses the root node of the document; None for an empty one."""
        if not isinstance(root, yaml.MappingNode):
            self.add_error(
                0,
                "",
                "The file is not a mapping.",
                "Start it with a group such as 'accounts:'.",
            )
            return
        groups = {spec.group: spec for spec in _columns.ROW_SPECS}
        for key, value in root.value:
            spec = groups.get(_node_text(key))
            if spec is None:
                self.add_error(
                    _line_number(key),
                    "",
                    f"{_node_text(key)!r} is not a known group.",
                    f"Use only: {', '.join(groups)}.",
                )
            elif isinstance(value, yaml.SequenceNode):
                for node in value.value:
                    self._parse_block(spec, node)
            else:
                self.add_error(
                    _line_number(key),
                    "",
                    "The group is not a list.",
                    "Start each item with '-'.",
                )

    def _parse_block(self, spec: _columns.RowSpec, node: yaml.Node) -> None:
        if not isinstance(node, yaml.MappingNode):
            self.add_error(
                _line_number(node),
                "",
                "The item is not a mapping.",
                "Write its fields as 'name: value'.",
            )
            return
        filled = self._collect_cells(node)
        item, problems = _columns.parse_item(spec, filled)
        for problem in problems:
            self.add_error(
                _line_number(node),
                problem.column,
                problem.message,
                problem.hint,
            )
        if item is not None:
            self.collector.add(_line_number(node), item)

    def _collect_cells(self, node: yaml.MappingNode) -> dict[str, str]:
        cells: dict[str, str] = {}
        for key, value in node.value:
            heading = _node_text(key)
            if heading in cells:
                self.add_error(
                    _line_number(key),
                    heading,
                    "The field occurs more than once.",
                    "Remove all but one.",
                )
            cells[heading] = _node_text(value)
        return {heading: text for heading, text in cells.items() if text}


def parse_text(
    name: str, data: bytes
) -> returns.result.Result[_models.Declarations, _errors.SheetErrors]:
    """Parses the text form.

    Args:
        name: Name of the file, for error messages.
        data: Content of the file.

    Returns:
        The declarations, or every error of the file.
    """
    text = _TextParser(name)
    if len(data) > _sheet.MAX_SHEET_BYTES:
        text.add_error(
            0, "", "The file is too large.", "Reduce it to at most 8 MiB."
        )
    else:
        _parse_yaml(text, data)
    return text.collector.finish()


def _parse_yaml(text: _TextParser, data: bytes) -> None:
    try:
        root = yaml.compose(data, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, UnicodeError, RecursionError, ValueError) as exc:
        mark = getattr(exc, "problem_mark", None)
        text.add_error(
            mark.line + 1 if mark else 0,
            "",
            f"The file is not valid YAML: {getattr(exc, 'problem', exc)}.",
            "Correct the syntax or export the file again.",
        )
        return
    text.parse_document(root)


def _line_number(node: yaml.Node) -> int:
    return int(node.start_mark.line) + 1


def _node_text(node: yaml.Node) -> str:
    # Deeper lists are not followed: aliases could make them endless.
    if isinstance(node, yaml.SequenceNode):
        return " ".join(_scalar_text(child) for child in node.value)
    return _scalar_text(node)


def _scalar_text(node: yaml.Node) -> str:
    return str(node.value) if isinstance(node, yaml.ScalarNode) else ""
