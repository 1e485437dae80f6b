"""Marks the tests that are listed in KNOWN-RED.txt as expected failures."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / 'KNOWN-RED.txt'


def known_red():
    """Returns the listed node ids, one on each line that begins with ``-``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix('- ').strip()
        for line in lines
        if line.startswith('- tests/')
    }


def pytest_collection_modifyitems(items):
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            reason = 'listed in KNOWN-RED.txt'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
