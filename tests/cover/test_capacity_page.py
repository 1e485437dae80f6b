"""The capacity page agrees with its template and the measured data.

The tests guard against a page that was not rendered again after its template
or its data changed.
"""

from pathlib import Path

import orjson
import pytest

from camphorlink.bench.capacity import render_page

ROOT = Path(__file__).parents[2]
DATA = ROOT / 'docs' / 'data'


def load_data():
    slopes = orjson.loads((DATA / 'slopes.json').read_bytes())
    lines = (DATA / 'control.jsonl').read_bytes().splitlines()
    template = (DATA / 'capacity.md.template').read_text()
    return template, slopes, [orjson.loads(line) for line in lines]


def test_the_page_matches_its_template_and_data():
    page = (ROOT / 'docs' / 'CAPACITY.md').read_text()
    assert page == render_page(*load_data())


def test_a_changed_slope_changes_the_page():
    template, slopes, control = load_data()
    page = render_page(template, slopes, control)
    slopes['core_start_us']['median'] *= 2
    assert render_page(template, slopes, control) != page


def test_an_unknown_figure_raises_key_error():
    with pytest.raises(KeyError):
        render_page('$unknown_figure', *load_data()[1:])
