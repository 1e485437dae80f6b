"""HTTP interfaces for jobs: request handlers, decoding and responses."""
