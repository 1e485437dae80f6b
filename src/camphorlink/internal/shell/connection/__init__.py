"""Shells that live as long as one connection to a neighbour."""
