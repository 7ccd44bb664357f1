"""Stateful test of control against a simple oracle, and its mutants."""
