"""Tests of freshness, membership and permissions."""
