"""The capacity page says what the slopes say, and can't drift from them."""

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


def test_the_page_is_rendered_from_the_data():
    page = (ROOT / 'docs' / 'CAPACITY.md').read_text()
    assert page == render_page(*load_data())


def test_another_slope_gives_another_page():
    template, slopes, control = load_data()
    page = render_page(template, slopes, control)
    slopes['core_start_us']['median'] *= 2
    assert render_page(template, slopes, control) != page


def test_a_figure_that_is_not_worked_out_is_an_error():
    with pytest.raises(KeyError):
        render_page('$nobody_worked_this_out', *load_data()[1:])
