"""Parts of the client for callers."""
