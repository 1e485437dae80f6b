"""The committed data that documents and plots are made from."""

from pathlib import Path
from typing import Any

import click
import orjson

#: Option for the folder of the data.
data_option = click.option(
    '--data',
    'data_dir',
    type=click.Path(path_type=Path),
    default=Path('docs/data'),
    show_default=True,
)


def read_rows(path: Path) -> list[dict[str, Any]]:
    """Reads JSON lines."""
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]
