"""Stateful tests of control against simple oracles, and their mutants."""
