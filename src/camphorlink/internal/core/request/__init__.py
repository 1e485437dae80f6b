"""Core parts that live as long as one request."""
