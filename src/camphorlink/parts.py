"""Coordination parts to embed in a program of your own.

They are pure: you hand them messages and the time, they hand back what to
do.  Nothing in them opens a socket or reads a clock.
"""

from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.home_table import HomeTable
from camphorlink.internal.core.request.identifiers import (
    Home,
    SubmissionId,
    mint_submission_id,
    new_home,
    parse_submission_id,
)
from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    fold_record,
)
from camphorlink.internal.core.version.manifest import check_manifest

__all__ = (
    'ConfigState',
    'EntryCore',
    'Home',
    'HomeTable',
    'SubmissionId',
    'Timers',
    'check_manifest',
    'fold_record',
    'mint_submission_id',
    'new_home',
    'parse_submission_id',
)
