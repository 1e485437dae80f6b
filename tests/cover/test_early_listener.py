"""Tests that callers find a socket before the libraries are loaded."""

import json
import os
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from camphorlink.platform.early_listener import (
    SETTINGS_VARIABLE,
    listen_for_callers,
)

SOURCES = Path(__file__).parents[2] / 'src'
#: Modules that a node does not use.
UNUSED = {
    'camphorlink.internal.shell.process.daemon',
    'pydantic',
}


def free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def write_settings(path, monkeypatch, document):
    path.write_text(document)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))


def test_callers_that_connect_during_the_start_wait(tmp_path, monkeypatch):
    """They were refused until all modules were loaded."""
    port = free_port()
    document = {'listen_addrs': {'frontend_addr': f'127.0.0.1:{port}'}}
    write_settings(tmp_path / 'settings', monkeypatch, json.dumps(document))
    with listen_for_callers() as listener:
        with socket.create_connection(('127.0.0.1', port), 1) as caller:
            caller.sendall(b'request')
            accepted, _ = listener.accept()
            with accepted:
                accepted.settimeout(1)
                assert accepted.recv(16) == b'request'
        assert listen_for_callers() is None


@pytest.mark.parametrize(
    'document',
    [
        '',
        'no json',
        '[]',
        '{}',
        '{"listen_addrs": null}',
        '{"listen_addrs": {"frontend_addr": 7}}',
        '{"listen_addrs": {"frontend_addr": "127.0.0.1:99999999"}}',
    ],
)
def test_bad_settings_are_left_to_the_node(document, tmp_path, monkeypatch):
    write_settings(tmp_path / 'settings', monkeypatch, document)
    assert listen_for_callers() is None
    monkeypatch.setenv(SETTINGS_VARIABLE, str(tmp_path / 'missing'))
    assert listen_for_callers() is None


def test_a_node_loads_only_what_it_uses():
    program = (
        'import sys, camphorlink.platform.program; print(*sorted(sys.modules))'
    )
    environment = {
        **os.environ,
        'PYTHONPATH': os.pathsep.join([str(SOURCES), *sys.path]),
        'AIOMISC_NO_PLUGINS': '1',
    }
    loaded = subprocess.run(
        [sys.executable, '-S', '-c', program],
        env=environment,
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split()
    assert UNUSED.isdisjoint(loaded), UNUSED & set(loaded)


def test_a_node_is_loaded_after_its_socket_listens():
    program = (
        'import sys, camphorlink.platform.early_listener as early;'
        'print(*sorted(sys.modules))'
    )
    early = subprocess.run(
        [sys.executable, '-S', '-c', program],
        env={**os.environ, 'PYTHONPATH': str(SOURCES)},
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split()
    assert {'asyncio', 'aiohttp', 'uvloop', 'aiomisc'}.isdisjoint(early)
