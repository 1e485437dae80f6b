"""Benchmarks: slopes for the capacity page, load tests and experiments."""
