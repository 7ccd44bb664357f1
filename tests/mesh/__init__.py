"""Tests of the banyanbank_mesh package."""
