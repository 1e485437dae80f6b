"""Adapters whose state lasts as long as the process."""
