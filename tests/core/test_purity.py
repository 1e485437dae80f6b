"""Checks that the core does no I/O, reads no clock and seeds all randomness.

Also checks that names of the platform's interfaces occur only in the
platform package.
"""

import ast
from pathlib import Path

import camphorlink.internal.core as core

FORBIDDEN = {
    'aiohttp', 'aiomisc', 'asyncio', 'datetime', 'logging', 'os', 'pathlib',
    'secrets', 'select', 'selectors', 'signal', 'socket', 'ssl', 'subprocess',
    'threading', 'time', 'uuid', 'uvloop', 'websockets',
}  # fmt: skip


def imported_names(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ''


def test_core_imports_no_module_with_side_effects():
    root = Path(core.__file__).parent
    paths = sorted(root.rglob('*.py'))
    assert len(paths) > 10
    offences = [
        f'{path.relative_to(root)}: {name}'
        for path in paths
        for name in imported_names(path)
        if name.split('.')[0] in FORBIDDEN
        or name.startswith('camphorlink.internal.shell')
    ]
    assert offences == []


def test_core_calls_no_module_level_random():
    root = Path(core.__file__).parent
    for path in sorted(root.rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(
                node.func,
                ast.Attribute,
            ):
                owner = node.func.value
                is_random = isinstance(owner, ast.Name) and owner.id == 'random'
                assert not is_random, f'{path}: random.{node.func.attr}'


PLATFORM_NAMES = (
    'run-start', 'run_start', 'run-stop', 'frontend_addr', 'log-append',
    'log-read', 'log-newest', 'Camphorlink-Fencing', 'Camphorlink-Expect',
    'cold_remaining_ms', 'host_machine', 'fencing_token', 'keyed.op',
    'keyed.servers', 'best_effort', "slack_factor'", 'listen_addrs',
    'path_prefix',
)  # fmt: skip


def test_platform_names_occur_only_in_the_platform_package():
    package = Path(core.__file__).parents[2]
    offences = [
        f'{path.relative_to(package)}: {name}'
        for path in sorted(package.rglob('*.py'))
        if 'platform' not in path.relative_to(package).parts
        for name in PLATFORM_NAMES
        if name in path.read_text()
    ]
    assert offences == []
