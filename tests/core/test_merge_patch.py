"""Tests that a patch yields the new document and is as small as the change."""

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorlink.internal.core.version.manifest import canonical_bytes
from camphorlink.internal.core.version.merge_patch import (
    apply_patch,
    make_patch,
)

names = st.sampled_from(['a', 'b', 'c'])
documents = st.recursive(
    st.integers() | st.text(max_size=3) | st.lists(st.integers(), max_size=2),
    lambda inner: st.dictionaries(names, inner, max_size=3),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=300)
@given(old=documents, new=documents)
def test_the_patch_of_two_documents_turns_one_into_the_other(old, new):
    assert apply_patch(old, make_patch(old, new)) == new


def test_a_patch_is_as_small_as_the_change():
    old = {'backends': {f'runner-{number}': {} for number in range(1900)}}
    new = {'backends': {**old['backends'], 'runner-7': {'leaving': True}}}
    patch = make_patch(old, new)
    assert patch == {'backends': {'runner-7': {'leaving': True}}}
    assert len(canonical_bytes(patch)) < 100


def test_null_in_a_patch_removes_the_key():
    assert apply_patch({'a': 1, 'b': 2}, {'a': None}) == {'b': 2}
