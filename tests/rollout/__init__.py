"""Tests of the banyanbank_rollout package."""
