"""Failures of real processes: killed, stopped, restarted, without disk."""
