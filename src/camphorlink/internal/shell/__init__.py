"""Thin shells that tie the core to sockets, clocks and files."""
