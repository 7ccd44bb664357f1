"""Checks configuration documents before they are sent.

A package of its own, so that instances do not load it.
"""

from banyanbank_gateway.document_check._changes import list_changes
from banyanbank_gateway.document_check._contradictions import (
    find_contradictions,
)
from banyanbank_gateway.document_check._findings import Change
from banyanbank_gateway.document_check._findings import ChangeKind
from banyanbank_gateway.document_check._findings import DeclaredNames
from banyanbank_gateway.document_check._findings import DOCUMENT_PLACE
from banyanbank_gateway.document_check._findings import Finding
from banyanbank_gateway.document_check._findings import FindingKind
from banyanbank_gateway.document_check._findings import Place
from banyanbank_gateway.document_check._findings import PlaceKind
from banyanbank_gateway.document_check._unmatched_entries import (
    find_ineffective_number,
)
from banyanbank_gateway.document_check._unmatched_entries import find_unmatched

__all__ = [
    "DOCUMENT_PLACE",
    "Change",
    "ChangeKind",
    "DeclaredNames",
    "Finding",
    "FindingKind",
    "Place",
    "PlaceKind",
    "find_contradictions",
    "find_ineffective_number",
    "find_unmatched",
    "list_changes",
]
