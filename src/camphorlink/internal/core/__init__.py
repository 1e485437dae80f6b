"""State machines without I/O: they map messages and the time to effects.

No module of this package opens a socket, reads a clock or draws unseeded random
numbers. The model checker, the property tests and trace replay therefore run
the same classes as the daemons.
"""
