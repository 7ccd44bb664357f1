"""Tests of the banyanbank_bench package."""
