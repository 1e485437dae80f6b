"""Stand-ins for backend servers and the platform, for trials and tests."""
