"""Core parts for connections to back ends and peers, and their messages."""
