"""JSON merge patches (RFC 7396), which keep the records of changes small.

A manifest of 1,900 backend servers is 224 KB in its canonical form.  Sent in
full for each of 1,900 changes a day, it would exceed the 4 KB/s that an entry
VM may use for control traffic; a patch is a few hundred bytes.
"""

from typing import Any

#: Maximum nesting depth of a document.  Without a bound, a malicious record
#: could exhaust the stack on some VMs and not on others.
MAX_DEPTH = 12


def apply_patch(document: Any, patch: Any) -> Any:
    """Returns a copy of ``document`` with ``patch`` applied.

    Both must pass ``is_shallow``, as this function is recursive.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(document) if isinstance(document, dict) else {}
    for name, change in patch.items():
        if change is None:
            merged.pop(name, None)
        else:
            merged[name] = apply_patch(merged.get(name), change)
    return merged


def make_patch(old: Any, new: Any) -> Any:
    """Returns the patch that turns ``old`` into ``new``.

    Neither may contain ``null``, which a patch can't express; a checked
    manifest has none.
    """
    if not isinstance(old, dict) or not isinstance(new, dict):
        return new
    removed = {name: None for name in old if name not in new}
    changed = {
        name: make_patch(old.get(name), entry)
        for name, entry in new.items()
        if name not in old or old[name] != entry
    }
    return {**removed, **changed}


def is_shallow(document: Any, max_depth: int = MAX_DEPTH) -> bool:
    """Returns whether a JSON value nests no deeper than ``max_depth``."""
    depth, level = 0, [document]
    while level and depth <= max_depth:
        level = [inner for outer in level for inner in _children(outer)]
        depth += 1
    return not level


def _children(outer: Any) -> list[Any]:
    if isinstance(outer, dict):
        return list(outer.values())
    return outer if isinstance(outer, list) else []
