"""Dispatch decisions: queues, fairness, routing, limits and retries."""
