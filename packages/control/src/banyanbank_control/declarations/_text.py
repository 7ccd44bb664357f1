"""The text form: YAML, sorted, one item a block, fit for version control."""

import collections.abc
import re

import returns.result
import yaml

from banyanbank_control.declarations import _columns
from banyanbank_control.declarations import _errors
from banyanbank_control.declarations import _findings
from banyanbank_control.declarations import _models
from banyanbank_control.declarations import _sheet

_PLAIN = re.compile(r"[A-Za-z0-9/][A-Za-z0-9./_ -]*")


def export_text(declared: _models.Declarations) -> str:
    """Returns the declarations as YAML that reads back unchanged."""
    lines: list[str] = []
    for spec in _columns.SPECS:
        items = getattr(declared, spec.group)
        if items:
            lines.append(f"{spec.group}:")
        for item in items:
            lines.extend(_block(item))
    return "\n".join(lines) + "\n" if lines else "{}\n"


def _block(item: _models.Item) -> collections.abc.Iterator[str]:
    lead = "  - "
    for heading, text in _columns.write_item(item).items():
        yield f"{lead}{heading}: {_scalar(text)}"
        lead = "    "


def _scalar(text: str) -> str:
    # Read as text whatever YAML would make of it, so `1` needs no quotes.
    if _PLAIN.fullmatch(text):
        return text
    escaped = text.replace("'", "''")
    return f"'{escaped}'"


class _Text:
    """Reads one text file, collecting its faults."""

    def __init__(self, file: str) -> None:
        self.found = _findings.Findings(file, "line")
        self.fail = self.found.fail

    def read(self, root: yaml.Node | None) -> None:
        """Reads the whole document."""
        if not isinstance(root, yaml.MappingNode):
            self.fail(
                0, "", "The file is not a mapping.", "Start with 'accounts:'."
            )
            return
        groups = {spec.group: spec for spec in _columns.SPECS}
        for key, value in root.value:
            spec = groups.get(_text_of(key))
            if spec is None:
                self.fail(
                    _line(key),
                    "",
                    f"{_text_of(key)!r} is not known.",
                    f"Use some of: {', '.join(groups)}.",
                )
            elif isinstance(value, yaml.SequenceNode):
                for node in value.value:
                    self._read_block(spec, node)
            else:
                self.fail(
                    _line(key), "", "This is not a list.", "Start with '-'."
                )

    def _read_block(self, spec: _columns.RowSpec, node: yaml.Node) -> None:
        if not isinstance(node, yaml.MappingNode):
            self.fail(
                _line(node), "", "The item has no fields.", "Write 'name: …'."
            )
            return
        filled = self._read_cells(node)
        item, problems = _columns.read_item(spec, filled)
        for problem in problems:
            self.fail(
                _line(node), problem.heading, problem.problem, problem.mend
            )
        if item is not None:
            self.found.add(_line(node), item)

    def _read_cells(self, node: yaml.MappingNode) -> dict[str, str]:
        cells: dict[str, str] = {}
        for key, value in node.value:
            heading = _text_of(key)
            if heading in cells:
                self.fail(
                    _line(key),
                    heading,
                    "The field stands twice.",
                    "Remove one.",
                )
            cells[heading] = _text_of(value)
        return {heading: text for heading, text in cells.items() if text}


def parse_text(
    name: str, data: bytes
) -> returns.result.Result[_models.Declarations, _errors.SheetErrors]:
    """Reads the text form.

    Args:
        name: Name of the file, for errors.
        data: Its bytes.

    Returns:
        The declarations, or every fault of the file.
    """
    text = _Text(name)
    if len(data) > _sheet.MAX_SHEET_BYTES:
        text.fail(0, "", "The file is too large.", "Keep it below 8 MiB.")
    else:
        _compose(text, data)
    return text.found.conclude()


def _compose(text: _Text, data: bytes) -> None:
    try:
        root = yaml.compose(data, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, UnicodeError, RecursionError, ValueError) as exc:
        mark = getattr(exc, "problem_mark", None)
        text.fail(
            mark.line + 1 if mark else 0,
            "",
            f"The file is not YAML: {getattr(exc, 'problem', exc)}.",
            "Correct it or export it again.",
        )
        return
    text.read(root)


def _line(node: yaml.Node) -> int:
    return int(node.start_mark.line) + 1


def _text_of(node: yaml.Node) -> str:
    # One level only: aliases could make deeper lists endless.
    if isinstance(node, yaml.SequenceNode):
        return " ".join(_scalar_of(part) for part in node.value)
    return _scalar_of(node)


def _scalar_of(node: yaml.Node) -> str:
    return str(node.value) if isinstance(node, yaml.ScalarNode) else ""
