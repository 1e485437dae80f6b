"""Shells that live as long as one request."""
