"""States and mutation names of the configuration specification."""

from typing import NamedTuple

PROPOSED = 'proposed'
APPROVED = 'approved'
SNAPSHOT = 'snapshot'
RULESET = 'ruleset'

# Kinds of events; each search includes some of them.
NEWER_RULES = 'newer-rules'
EXPIRY = 'expiry'
SNAPSHOTS = 'snapshots'
PEERS = 'peers'
RESTART = 'restart'

NO_MANIFEST = -1
#: Manifest that the second set of rules rejects.
BAD_MANIFEST = 1

NO_BASE_CHECK = 'approval-without-base-version'
STALE_SNAPSHOT = 'snapshot-closes-a-gap-without-offset-check'
SNAPSHOT_ON_CURRENT_VM = 'snapshot-taken-by-a-current-vm'
SNAPSHOT_WITHOUT_PROPOSALS = 'snapshot-without-open-proposals'
SKIPPED_GAP = 'gap-skipped-over'
UNCOMPARED_PEER_STATE = 'peer-state-taken-without-comparing'
SKIPPED_RULESET = 'older-release-passes-over-newer-rules'


class FoldedState(NamedTuple):
    """State that results from folding a prefix of the stream.

    Attributes:
        version: Number of manifests and sets of rules accepted so far.
        manifest: Manifest in force.
        next_offset: Offset of the first record that is not yet folded.
        proposals: Manifests that may be approved.
        ruleset: Set of rules in effect.
        has_overwritten: Whether a record was accepted over a version that its
            operator had not seen.
    """

    version: int = 0
    manifest: int = NO_MANIFEST
    next_offset: int = 0
    proposals: frozenset[int] = frozenset()
    ruleset: int = 1
    has_overwritten: bool = False


class Record(NamedTuple):
    """Record of the configuration stream.

    Attributes:
        kind: Proposal, approval, snapshot or change of the set of rules.
        base: Version that the record is based on.
        manifest: Manifest that the record proposes or approves.
        folded: State in a snapshot.
    """

    kind: str
    base: int = 0
    manifest: int = NO_MANIFEST
    folded: FoldedState | None = None


class Vm(NamedTuple):
    """Entry VM that folds the stream.

    Attributes:
        release: Newest set of rules that the VM's release supports.
        folded: Folded state of the VM.
        has_reverted: Whether the version ever decreased within one process.
    """

    release: int
    folded: FoldedState = FoldedState()
    has_reverted: bool = False


class ConfigState(NamedTuple):
    """State of the stream, the entry VMs and the messages in flight.

    Attributes:
        stream: All records that were appended, including expired ones.
        max_records: Maximum number of records in the search.
        earliest_offset: Offset of the first record that has not expired.
        vms: Entry VMs.
        proposal_bases: For each operator, the base version of its latest
            proposal, or -1.
        pending_snapshot: Snapshot that may still be stored, if any.
        sent_state: State that a VM has sent and that another VM may receive
            at any time, if any.
        remaining_events: Kinds of events that may still occur.
    """

    stream: tuple[Record, ...] = ()
    max_records: int = 5
    earliest_offset: int = 0
    vms: tuple[Vm, ...] = (Vm(2), Vm(1))
    proposal_bases: tuple[int, ...] = (-1, -1)
    pending_snapshot: FoldedState | None = None
    sent_state: FoldedState | None = None
    remaining_events: frozenset[str] = frozenset()
