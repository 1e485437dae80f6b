"""Adapters that connect the core to sockets, clocks and files."""
