"""Draws the plots of the documentation from committed data files.

Run it with ``make plots``.  It needs the packages of
``requirements-plots.txt``.  The same data gives the same SVG file, byte for
byte.
"""

from pathlib import Path
from typing import Any

import click
import matplotlib as mpl
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from camphorlink.bench.data_files import data_option, read_rows

WIDTH_IN = 7.0
HEIGHT_IN = 4.0
CONTROL_LIMIT_BYTES_PER_S = 4000
STEADY_CASES = ('steady-50', 'steady-70', 'steady-85', 'steady-95')

mpl.use('svg')
mpl.rcParams['svg.hashsalt'] = 'camphorlink'
mpl.rcParams['svg.fonttype'] = 'none'


def draw_stretch(axes: Axes, rows: list[dict[str, Any]]) -> None:
    """Draws the ratio of response time to ideal, by load and policy."""
    policies = sorted({row['policy'] for row in rows})
    for policy in policies:
        row_by_case = {
            row['case']: row for row in rows if row['policy'] == policy
        }
        for figure_name, style in (('median', '-'), ('p99', '--')):
            # An infinite quantile, due to jobs that were not completed, is
            # stored as null; NaN leaves a gap in the line.
            figures = [
                row_by_case[case][figure_name] or float('nan')
                for case in STEADY_CASES
            ]
            label = f'{policy}, {figure_name}'
            axes.plot(STEADY_CASES, figures, style, marker='o', label=label)
    axes.set_yscale('log')
    axes.set_ylabel('response time / ideal')
    axes.legend(fontsize='small')


def draw_control_traffic(axes: Axes, rows: list[dict[str, Any]]) -> None:
    """Draws the control traffic in bytes per second, by number of peers."""
    peers = [row['peers'] for row in rows]
    sent = [row['bytes_a_second'] for row in rows]
    pings = [row['ping_bytes_a_second'] for row in rows]
    total = [sum(pair) for pair in zip(sent, pings, strict=True)]
    axes.plot(peers, sent, marker='o', label='heartbeats and reports')
    axes.plot(peers, total, marker='o', label='with pings')
    axes.axhline(CONTROL_LIMIT_BYTES_PER_S, linestyle=':', label='limit')
    axes.set_xlabel('peers of an entry VM')
    axes.set_ylabel('bytes a second')
    axes.legend()


PLOTS = (
    ('experiment.jsonl', 'stretch.svg', draw_stretch),
    ('control.jsonl', 'control.svg', draw_control_traffic),
)


@click.command()
@data_option
@click.option(
    '--out',
    'out_dir',
    type=click.Path(path_type=Path),
    default=Path('docs/plots'),
    show_default=True,
)
def main(data_dir: Path, out_dir: Path) -> None:
    """Draw all plots."""
    out_dir.mkdir(exist_ok=True)
    for source, target, draw in PLOTS:
        figure, axes = plt.subplots(figsize=(WIDTH_IN, HEIGHT_IN))
        draw(axes, read_rows(data_dir / source))
        figure.tight_layout()
        figure.savefig(out_dir / target, metadata={'Date': None})
        plt.close(figure)


if __name__ == '__main__':
    main()
