"""Stand-ins for what camphorlink does not own, for trials and tests."""
