"""Tests of declarations and their CSV and YAML forms."""
