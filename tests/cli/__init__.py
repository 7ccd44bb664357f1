"""Tests of the banyanbank_cli package."""
