"""Core parts that admit, queue and place submissions and jobs."""
