"""Costs of the real classes, from which the capacity page is worked out."""
