"""Commands that measure: slopes for the capacity page, load, experiments."""
