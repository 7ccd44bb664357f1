"""Scripted scenarios in Gherkin, against instances on one loop."""
