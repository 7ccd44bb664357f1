"""Tests of the banyanbank_consensus package."""
