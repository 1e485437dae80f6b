"""Pure core: messages and time in, messages and effects out.

No module below here opens a socket, reads a clock or draws unseeded random
numbers, so the model checker, the property tests and trace replay drive the
very classes that run in the daemons.
"""
