"""Parts that may change between releases; import from the package root."""
