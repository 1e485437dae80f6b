"""The protocols of camphorlink as small machines that are checked in full.

Each module specifies one protocol: a state, the steps that change it, the
promises as invariants by name, the states that must be reachable (or else
the check proves nothing), and mutations, each of which breaks one promise.
The package needs ``minicheck`` and is no part of a running daemon.
"""
