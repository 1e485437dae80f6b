"""Specifications of the protocols, checked by exhaustive state search.

Each protocol is a state machine, small enough that all its states can be
visited.  Its modules define the state, the steps from one state to the next,
the invariants, the witnesses (states that must be reachable, since an
invariant proves nothing about states that the search never visits), and the
mutations, each of which must violate one invariant.

The package needs ``minicheck``.  A running daemon does not import it.
"""
