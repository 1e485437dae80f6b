"""Tests the results of the embedding example."""

import asyncio
import runpy
from pathlib import Path

EMBED = Path(__file__).parents[2] / 'examples' / 'embed.py'


def test_the_example_starts_no_job_twice_and_ejects_the_bad_worker():
    program = runpy.run_path(str(EMBED))
    pool = asyncio.run(program['main']())
    assert pool.starts == program['TICKS']
    assert pool.ejected == ['bad']
    assert pool.state.version == 1
