"""Tests of banyanbank_node."""
