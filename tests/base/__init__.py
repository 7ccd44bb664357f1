"""Tests of the banyanbank_base package."""
