"""Tests of declarations and their forms."""
