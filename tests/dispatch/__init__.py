"""Tests of the banyanbank_dispatch package."""
