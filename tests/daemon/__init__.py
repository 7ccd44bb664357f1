"""Tests of the banyanbank_daemon package."""
