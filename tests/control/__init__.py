"""Tests of the banyanbank_control package."""
