"""Tests of the banyanbank_fakes package."""
