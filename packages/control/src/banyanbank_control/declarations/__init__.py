"""Operator declarations and their CSV (sheet) and YAML (text) forms."""

from banyanbank_control.declarations._checks import check
from banyanbank_control.declarations._checks import check_item
from banyanbank_control.declarations._checks import ItemProblem
from banyanbank_control.declarations._columns import find_format_error
from banyanbank_control.declarations._diff import Added
from banyanbank_control.declarations._diff import Change
from banyanbank_control.declarations._diff import Changed
from banyanbank_control.declarations._diff import diff
from banyanbank_control.declarations._diff import Removed
from banyanbank_control.declarations._errors import SheetError
from banyanbank_control.declarations._errors import SheetErrors
from banyanbank_control.declarations._models import Access
from banyanbank_control.declarations._models import Account
from banyanbank_control.declarations._models import ANY_ACCOUNT
from banyanbank_control.declarations._models import Capacity
from banyanbank_control.declarations._models import Declarations
from banyanbank_control.declarations._models import Grant
from banyanbank_control.declarations._models import grant_ref
from banyanbank_control.declarations._models import hash_secret
from banyanbank_control.declarations._models import Item
from banyanbank_control.declarations._models import ItemRef
from banyanbank_control.declarations._models import Key
from banyanbank_control.declarations._models import Kind
from banyanbank_control.declarations._models import Model
from banyanbank_control.declarations._models import Offer
from banyanbank_control.declarations._models import Repeat
from banyanbank_control.declarations._models import Route
from banyanbank_control.declarations._models import Supply
from banyanbank_control.declarations._models import Target
from banyanbank_control.declarations._models import Trainer
from banyanbank_control.declarations._references import find_references
from banyanbank_control.declarations._references import Reference
from banyanbank_control.declarations._sheet import export_sheet
from banyanbank_control.declarations._sheet import parse_sheet
from banyanbank_control.declarations._text import export_text
from banyanbank_control.declarations._text import parse_text

__all__ = [
    "ANY_ACCOUNT",
    "Access",
    "Account",
    "Added",
    "Capacity",
    "Change",
    "Changed",
    "Declarations",
    "Grant",
    "Item",
    "ItemProblem",
    "ItemRef",
    "Key",
    "Kind",
    "Model",
    "Offer",
    "Reference",
    "Removed",
    "Repeat",
    "Route",
    "SheetError",
    "SheetErrors",
    "Supply",
    "Target",
    "Trainer",
    "check",
    "check_item",
    "diff",
    "export_sheet",
    "export_text",
    "find_format_error",
    "find_references",
    "grant_ref",
    "hash_secret",
    "parse_sheet",
    "parse_text",
]
