"""Replicated control state: configuration, keys, usage, orders and intents."""
