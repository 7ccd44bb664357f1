"""Tests of the sync protocol: freshness, membership and permissions."""
