"""Implementation of the client in ``camphorlink.client``."""
