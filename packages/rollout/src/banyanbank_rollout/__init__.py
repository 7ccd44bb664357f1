"""Rollout decisions: sample ledger, batches, staleness, weights."""
