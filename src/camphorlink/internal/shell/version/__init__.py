"""Input and output of the configuration and its versions."""
