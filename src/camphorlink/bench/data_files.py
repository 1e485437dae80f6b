"""Reads the committed data from which pages and plots are generated."""

from pathlib import Path
from typing import Any

import click
import orjson

data_option = click.option(
    '--data',
    'data_dir',
    type=click.Path(path_type=Path),
    default=Path('docs/data'),
    show_default=True,
)


def read_rows(path: Path) -> list[dict[str, Any]]:
    """Returns the rows of a file with one JSON object per line."""
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]
