"""Measurements run by hand, over the stand-ins of the tests.

`python -m measurements.NAME`; what each tells stands in its first lines.
"""
