"""Writes the tables of the charts of `banyanbank_consensus`.

To be run after a change of a chart; `test_chart_tables` checks the result:

    uv run --no-sync python -m tests.consensus.chart_tables
"""

import pathlib

import banyanbank_base as base

PACKAGE = "banyanbank_consensus"
FOLDER = pathlib.Path(__file__).parents[2] / "packages/consensus/src" / PACKAGE
TABLES_PATH = FOLDER / "_chart_tables.py"
HEAD = '''\
"""Tables of the statecharts in `charts/`, so that a start does not parse them.

Written by `python -m tests.consensus.chart_tables`; change the charts instead.
"""

import banyanbank_base as base

TABLES = {
'''


def chart_names() -> list[str]:
    """Returns the names of all charts of the package."""
    return sorted(path.stem for path in FOLDER.glob("charts/*.yaml"))


def render() -> str:
    """Returns the content of the module with the tables."""
    lines = [HEAD]
    for name in chart_names():
        table = base.load_table(PACKAGE, name)
        lines.append(f'    "{name}": base.ChartTable(\n')
        lines.append(f'        name="{table.name}",\n')
        lines.append(f'        initial="{table.initial}",\n')
        lines.append("        transitions={\n")
        for state, targets in sorted(table.transitions.items()):
            if not targets:
                lines.append(f'            "{state}": {{}},\n')
                continue
            lines.append(f'            "{state}": {{\n')
            for event, target in sorted(targets.items()):
                lines.append(f'                "{event}": "{target}",\n')
            lines.append("            },\n")
        lines.append("        },\n    ),\n")
    lines.append("}\n")
    return "".join(lines)


if __name__ == "__main__":
    TABLES_PATH.write_text(render(), encoding="utf-8")
