"""Tests of how the tests are run."""
