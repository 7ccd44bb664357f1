"""Quorum-replicated log: election, leases, storage and voter changes."""
