"""A replay confirms the outcomes of a trace or reports the first difference."""

from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from camphorlink.cli.replay import main
from traces import INCIDENTS

HEADER = '{"format": 1, "title": "t", "core_by_name": {}}'
TICK = '{"core":"a","at_s":0,"kind":"Tick","fields":{},"outcomes":[]}'
TRACES = sorted((Path(__file__).parents[2] / 'traces').glob('*.jsonl'))


def replay(path):
    return CliRunner().invoke(main, [str(path)])


def write_changed_trace(path, tmp_path, change):
    """Writes a copy of a trace in which ``change`` was applied to the last
    event that has outcomes.
    """
    lines = [orjson.loads(line) for line in path.read_bytes().splitlines()]
    event = [line for line in lines[1:] if line['outcomes']][-1]
    change(event['outcomes'])
    copy = tmp_path / path.name
    copy.write_bytes(b'\n'.join(orjson.dumps(line) for line in lines))
    return copy


def test_each_incident_has_a_trace():
    names = {incident.__name__.replace('_', '-') for incident in INCIDENTS}
    assert {path.stem for path in TRACES} == names


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_a_trace_replays_to_its_stated_outcomes(path):
    outcome = replay(path)
    assert outcome.exit_code == 0, outcome.output
    assert 'all as stated' in outcome.output


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
@pytest.mark.parametrize(
    'change',
    [
        lambda outcomes: outcomes.pop(),
        lambda outcomes: outcomes.append(outcomes[-1]),
        lambda outcomes: outcomes[-1].update(Other={}),
    ],
    ids=['missing', 'twice', 'other'],
)
def test_a_changed_trace_fails_at_its_line(path, change, tmp_path):
    outcome = replay(write_changed_trace(path, tmp_path, change))
    assert outcome.exit_code == 1, outcome.output
    assert 'not as stated' in outcome.output


@pytest.mark.parametrize(
    'text',
    [
        '',
        'no trace',
        '{"format": 99, "title": "t", "core_by_name": {}}',
        HEADER + '\n' + '{"core": "a"}',
        HEADER + '\n' + TICK,
    ],
)
def test_an_unreadable_trace_exits_with_code_2(text, tmp_path):
    path = tmp_path / 'trace.jsonl'
    path.write_text(text)
    assert replay(path).exit_code == 2


def test_a_missing_trace_exits_with_code_2(tmp_path):
    assert replay(tmp_path / 'none.jsonl').exit_code == 2
