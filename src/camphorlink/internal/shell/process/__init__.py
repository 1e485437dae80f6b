"""Shells that live as long as the process."""
