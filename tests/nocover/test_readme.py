"""Tests that the commands in README.md work when run in a shell."""

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from camphorlink.bench.programs import SOURCE

ROOT = Path(__file__).parents[2]
README = (ROOT / 'README.md').read_text().partition('```')[0]
LINES = re.findall(r'^    (\S.*)$', README, re.MULTILINE)
SHELL_LINES = [line for line in LINES if not line.startswith('make ')]
TIMEOUT_S = 60


@pytest.fixture
def dev(tmp_path):
    """Starts ``camphorlink-dev --serve``; yields the lines that it printed."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'camphorlink.cli.dev', '--serve'],
        stdout=subprocess.PIPE,
        text=True,
        cwd=tmp_path,
        env={**os.environ, 'PYTHONPATH': str(SOURCE), 'PYTHONUNBUFFERED': '1'},
    )
    output = []
    try:
        while sum('export' in line for line in output) < 2:
            line = process.stdout.readline()
            assert line, output
            output.append(line)
        yield output
    finally:
        process.send_signal(signal.SIGINT)
        assert process.wait(TIMEOUT_S) == 0
        process.stdout.close()


def install_command_script(directory):
    """Creates ``camphorlink-submit`` and the examples at README's paths."""
    target = directory / '.venv' / 'bin' / 'camphorlink-submit'
    target.parent.mkdir(parents=True)
    module = 'camphorlink.cli.submit'
    target.write_text(f'#!/bin/sh\nexec {sys.executable} -m {module} "$@"\n')
    target.chmod(0o755)
    (directory / 'examples').symlink_to(ROOT / 'examples')


def test_the_readme_commands_run_as_written(dev, tmp_path):
    assert 'complete: 12 tasks\n' in dev
    install_command_script(tmp_path)
    exports = [line.strip() for line in dev if 'export' in line]
    script = '\n'.join(['set -e', *exports, *SHELL_LINES])
    completed = subprocess.run(
        ['bash', '-c', script],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        env={**os.environ, 'PYTHONPATH': str(SOURCE)},
    )
    assert completed.returncode == 0, completed.stderr
    output = completed.stdout
    assert output.count('"outcome":"complete"') == 4
    assert output.count('"outcome": "complete"') == 2
    assert '"known":true' in output
    assert '"reason":"bad-job"' in output
    assert '"ready":true' in output
    assert 'camphorlink_refusals_total{reason="bad-job"} 1' in output
    assert completed.stderr.startswith('submission ')


def test_the_readme_lists_the_expected_commands():
    assert {'make run', 'make serve', 'make test'} <= set(LINES)
    assert len(SHELL_LINES) == 10
