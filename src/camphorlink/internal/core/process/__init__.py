"""Core parts that live as long as the process."""
