"""Coordination parts for embedding in other programs.

The parts are pure: their inputs are messages and the current time, and their
outputs are the actions to perform.  They open no sockets and read no clocks,
so the embedding program drives them, and tests can drive them on a virtual
clock.  ``docs/EMBEDDING.md`` shows how to combine them.
"""

from camphorlink.internal.core.connection.backend_health import HealthGuard
from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.connection.slot_shares import SlotShares
from camphorlink.internal.core.process.entry_core import EntryCore
from camphorlink.internal.core.process.members import (
    Member,
    MemberState,
    MemberView,
    build_view,
)
from camphorlink.internal.core.process.membership import Membership
from camphorlink.internal.core.process.timers import Timers
from camphorlink.internal.core.request.home_table import (
    HomeTable,
    TableLimits,
)
from camphorlink.internal.core.request.identifiers import (
    Home,
    SubmissionId,
    mint_submission_id,
    new_home,
    parse_submission_id,
)
from camphorlink.internal.core.request.job import Job, TaskSpec
from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    approval_record,
    fold_record,
    patch_record,
    proposal_record,
)
from camphorlink.internal.core.version.manifest import check_manifest

__all__ = (
    'BackendLoad',
    'ConfigState',
    'EntryCore',
    'HealthGuard',
    'Home',
    'HomeTable',
    'Job',
    'Member',
    'MemberState',
    'MemberView',
    'Membership',
    'SlotShares',
    'SubmissionId',
    'TableLimits',
    'TaskSpec',
    'Timers',
    'approval_record',
    'build_view',
    'check_manifest',
    'fold_record',
    'mint_submission_id',
    'new_home',
    'parse_submission_id',
    'patch_record',
    'proposal_record',
)
