"""Renders docs/CAPACITY.md from measured slopes and the required size.

The page is a template with named figures.  All figures are computed by this
program, so that the text and the figures of the page agree.  A test renders
the page again and compares it with the file.
"""

import string
import sys
from pathlib import Path
from typing import Any

import click
import orjson

from camphorlink.bench.capacity_figures import compute_figures
from camphorlink.bench.data_files import data_option, read_rows

EXIT_STALE = 1


def render_page(
    template: str,
    slopes: dict[str, Any],
    control: list[dict[str, float]],
) -> str:
    """Returns the text of the capacity page.

    Args:
        template: Text with ``$name`` or ``${name}`` for each figure.
        slopes: Measured slopes by name, in the format of ``make slopes``.
        control: Rows printed by ``make measure-control``.

    Raises:
        KeyError: The template names an unknown figure.
    """
    return string.Template(template).substitute(
        compute_figures(slopes, control)
    )


@click.command()
@data_option
@click.option(
    '--page',
    type=click.Path(path_type=Path),
    default=Path('docs/CAPACITY.md'),
    show_default=True,
)
@click.option('--check', is_flag=True, help='Compare only; exit 1 if stale.')
def main(data_dir: Path, page: Path, check: bool) -> None:
    """Write the capacity page from its template and the measured data."""
    template = (data_dir / 'capacity.md.template').read_text()
    slopes = orjson.loads((data_dir / 'slopes.json').read_bytes())
    control = read_rows(data_dir / 'control.jsonl')
    text = render_page(template, slopes, control)
    if not check:
        page.write_text(text)
    elif page.read_text() != text:
        click.echo(f'{page} is stale; run make capacity', err=True)
        sys.exit(EXIT_STALE)


if __name__ == '__main__':
    main()
