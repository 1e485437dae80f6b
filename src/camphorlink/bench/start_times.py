"""Measures what the start of a node costs: processor time, modules and memory.

Each variant runs in a process of its own, in turns, so that other load affects all
alike.  Not measured is the time of a real start on a VM, which also depends on its
share of a processor.
"""

import os
import statistics
import subprocess
import sys
from typing import NamedTuple

import click

#: Programs that are compared; each is run in a new interpreter.
PROGRAM_BY_NAME = {
    'interpreter': 'pass',
    'early listener': 'import camphorlink.platform.early_listener',
    'libraries': (
        'import uvloop, aiohttp.web, websockets.asyncio.client, '
        'websockets.asyncio.server, aioprometheus, aiomisc, click, orjson, cbor2'
    ),
    'node': 'import camphorlink.platform.program',
    'node, as run': (
        'import gc; gc.disable(); '
        'import os; os.environ["AIOMISC_NO_PLUGINS"] = "1"; '
        'os.environ["SSL_CERT_FILE"] = os.devnull; '
        'import camphorlink.platform.program'
    ),
}
#: Prints the processor time in seconds, the number of modules and the largest
#: resident size in KB.
REPORT = (
    '; import resource, sys'
    '; used = resource.getrusage(resource.RUSAGE_SELF)'
    '; print(used.ru_utime + used.ru_stime, len(sys.modules), used.ru_maxrss)'
)
KB_PER_MB = 1024


class Start(NamedTuple):
    """What one start has cost.

    Attributes:
        processor_s: Processor time, in seconds.
        modules: Number of loaded modules.
        resident_mb: Largest resident size, in MB.
    """

    processor_s: float
    modules: int
    resident_mb: float


def measure(program: str) -> Start:
    """Runs a program in a new interpreter."""
    completed = subprocess.run(
        [sys.executable, '-c', program + REPORT],
        capture_output=True,
        check=True,
        env=dict(os.environ),
        text=True,
    )
    processor_s, modules, resident_kb = completed.stdout.split()[-3:]
    return Start(float(processor_s), int(modules), int(resident_kb) / KB_PER_MB)


@click.command()
@click.option('--runs', default=10, show_default=True)
def main(runs: int) -> None:
    """Print the medians of the starts of all variants."""
    starts_by_name: dict[str, list[Start]] = {}
    for _ in range(runs):
        for name, program in PROGRAM_BY_NAME.items():
            starts_by_name.setdefault(name, []).append(measure(program))
    click.echo(f'{"":16} processor s  modules  resident MB')
    for name, starts in starts_by_name.items():
        median = Start(*map(statistics.median, zip(*starts, strict=True)))
        click.echo(
            f'{name:16} {median.processor_s:11.3f}'
            f'  {median.modules:7.0f}  {median.resident_mb:11.1f}'
        )


if __name__ == '__main__':
    main()
