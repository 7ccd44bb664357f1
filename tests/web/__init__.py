"""Tests of HTTP servers and clients."""
