"""Versioned configuration: its stream, state, snapshots and manifest."""
