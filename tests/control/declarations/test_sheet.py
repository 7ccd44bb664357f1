"""Tests of parsing and writing sheets and the text form."""

import pathlib
import unittest

import banyanbank_control as control
from banyanbank_control.declarations import _columns

from tests.control import samples

_ROOT = pathlib.Path(__file__).parents[3]
_DEMO = _ROOT / "examples" / "demo.csv"


class RoundTripTest(unittest.TestCase):
    """Exported declarations parse back unchanged."""

    def test_round_trips(self) -> None:
        demo = control.parse_sheet("demo.csv", _DEMO.read_bytes()).unwrap()
        self.assertEqual(control.export_sheet(demo), _DEMO.read_bytes())
        for declared in (samples.DECLARED, demo):
            sheet = control.export_sheet(declared)
            text = control.export_text(declared).encode()
            read = control.parse_sheet("s.csv", sheet).unwrap()
            self.assertEqual(read, declared)
            self.assertEqual(
                control.parse_text("s.yaml", text).unwrap(), declared
            )


class SheetsPageTest(unittest.TestCase):
    """docs/SHEETS.md lists exactly the columns of every row kind."""

    def test_columns(self) -> None:
        page = (_ROOT / "docs" / "SHEETS.md").read_text()
        kind, found = "", set()
        for line in page.splitlines():
            cells = [cell.strip() for cell in line.split("|")]
            if len(cells) == 6 and cells[2] not in ("column", "---"):
                kind = cells[1] or kind
                found.add((kind, cells[2], bool(cells[4])))
        expected = {
            (
                spec.kind.value,
                column.heading,
                column.default is not _columns.REQUIRED,
            )
            for spec in _columns.ROW_SPECS
            for column in spec.columns
        }
        self.assertEqual(found, expected)


class SpreadsheetTest(unittest.TestCase):
    """Encodings, separators and layouts that spreadsheets export."""

    def test_dialects(self) -> None:
        plain = "kind,name,weight,accounts,service,access\n"
        plain += "account,a,1.5,,,\nroute,/r,,a,r,keyed\n"
        semicolons = plain.replace(",", ";").replace("1.5", "1,5")
        sheets = {
            "plain": plain.encode(),
            "bom": plain.encode("utf-8-sig"),
            "utf-16": plain.encode("utf-16"),
            "crlf": plain.replace("\n", "\r\n").encode(),
            "semicolons and decimal comma": semicolons.encode(),
            "separator line": b"sep=;\r\n" + semicolons.encode(),
            "tabs": plain.replace(",", "\t").encode(),
            "quotes": plain.replace("1.5", '"1.5"').encode(),
            "blank lines": plain.replace("\n", "\n\n,,\n").encode(),
            "empty columns": plain.replace("\n", ",,,\n").encode(),
            "headings": plain.replace("kind", " Kind ").encode(),
        }
        expected = control.Declarations.from_items(
            [
                control.Account("a", weight=1.5),
                control.Route("/r", "r", control.Access.KEYED, ("a",)),
            ]
        )
        for name, data in sheets.items():
            with self.subTest(name):
                read = control.parse_sheet(name, data).unwrap()
                self.assertEqual(read, expected)


class SheetErrorTest(unittest.TestCase):
    """One parse reports every error, each with its row and column."""

    def check(self, body: str, *positions: tuple[int, str]) -> None:
        """Checks the rows and columns of all errors of a sheet."""
        errors = control.parse_sheet("s.csv", body.encode()).failure().errors
        found = tuple((error.row, error.column) for error in errors)
        self.assertEqual(found, positions)
        for error in errors:
            self.assertTrue(error.message and error.hint)
            self.assertTrue(str(error).startswith("s.csv"))

    def test_sheet_errors(self) -> None:
        head = "kind,name,account,secret_sha256,weight,concurrency\n"
        cases = {
            "": [(0, "")],
            "name\nx\n": [(1, "kind")],
            head + "account,a\nacount,b\n": [(3, "kind")],
            head + "\naccount,a,,,x,0\nkey,k,a,s3cret\n": [
                (3, "weight"),
                (3, "concurrency"),
                (4, "secret_sha256"),
            ],
            head + "account,a\naccount,a,,,2\n": [(3, "name")],
            head + "key,k,nobody," + "0" * 64: [(2, "account")],
            head + "account,a,b\n": [(2, "account")],
            head + "account,a,,,,,,x\n": [(2, "")],
            head + "account,a,,,1\u202f000\n": [(2, "weight")],
            head + "account,a,,,1.000\n": [(2, "weight")],
            head + "account,a,,,nan\naccount,é\n": [(2, "weight"), (3, "name")],
            head + 'account,"a\n': [(0, "")],
            "kind,nam,kind\n": [(1, "nam"), (1, "kind")],
        }
        for body, positions in cases.items():
            with self.subTest(body):
                self.check(body, *positions)

    def test_text_errors(self) -> None:
        cases = {
            "": [(0, "")],
            "- x\n": [(0, "")],
            "accounts: x\n": [(1, "")],
            "acounts: []\n": [(1, "")],
            "accounts:\n  - x\n": [(2, "")],
            "accounts:\n  - name: a\n    name: b\n": [(3, "name")],
            "accounts:\n  - name: a\n  - name: a\n": [(3, "name")],
            "accounts:\n  - {name: a, weight: x}\n": [(2, "weight")],
            "accounts: [\n": [(2, "")],
            "keys:\n  - name: k\n    account: a\n": [(2, "secret_sha256")],
        }
        for body, positions in cases.items():
            with self.subTest(body):
                read = control.parse_text("t.yaml", body.encode())
                found = [(e.row, e.column) for e in read.failure().errors]
                self.assertEqual(found, positions)

    def test_secret_is_not_repeated(self) -> None:
        body = "kind,name,account,secret_sha256\nkey,k,a,s3cret\n"
        errors = control.parse_sheet("s.csv", body.encode()).failure()
        self.assertNotIn("s3cret", str(errors))

    def test_unreadable_files(self) -> None:
        for data in (b"\xff\xfe\x00", b"kind\n\xe9\n", b"a" * (9 << 20)):
            with self.subTest(data[:5]):
                errors = control.parse_sheet("s", data).failure().errors
                self.assertEqual(errors[0].row, 0)
