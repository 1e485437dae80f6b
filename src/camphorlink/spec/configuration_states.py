"""States of the configuration specification, and its mutations' names."""

from typing import NamedTuple

PROPOSED = 'proposed'
APPROVED = 'approved'
SNAPSHOT = 'snapshot'
RULESET = 'ruleset'

# Kinds of events, so that each search can take in some of them.
NEWER_RULES = 'newer-rules'
EXPIRY = 'expiry'
SNAPSHOTS = 'snapshots'
PEERS = 'peers'
RESTART = 'restart'

NO_MANIFEST = -1
#: The manifest that the second set of rules does not admit.
BAD_MANIFEST = 1

NO_BASE_CHECK = 'approval-without-base-version'
STALE_SNAPSHOT = 'snapshot-closes-a-gap-without-offset-check'
SNAPSHOT_ON_CURRENT_VM = 'snapshot-taken-by-a-current-vm'
SNAPSHOT_WITHOUT_PROPOSALS = 'snapshot-without-open-proposals'
SKIPPED_GAP = 'gap-skipped-over'
UNCOMPARED_PEER_STATE = 'peer-state-taken-without-comparing'
SKIPPED_RULESET = 'older-release-passes-over-newer-rules'


class FoldedState(NamedTuple):
    """What a prefix of the stream amounts to.

    Attributes:
        version: Manifests and sets of rules accepted so far.
        manifest: The manifest in force.
        next_offset: Offset of the first record that is not folded in.
        proposals: Manifests that may be approved.
        ruleset: Set of rules in effect.
        has_overwritten: Whether a manifest was accepted over a version that
            its operator had not seen.
    """

    version: int = 0
    manifest: int = NO_MANIFEST
    next_offset: int = 0
    proposals: frozenset[int] = frozenset()
    ruleset: int = 1
    has_overwritten: bool = False


class Record(NamedTuple):
    """A record of the stream.

    Attributes:
        kind: What it is.
        base: Version that it builds on.
        manifest: The manifest that it proposes or approves.
        folded: The state that a snapshot carries.
    """

    kind: str
    base: int = 0
    manifest: int = NO_MANIFEST
    folded: FoldedState | None = None


class Vm(NamedTuple):
    """An entry VM.

    Attributes:
        release: Newest set of rules that it has.
        folded: Its state.
        has_reverted: Whether its version ever fell within one process.
    """

    release: int
    folded: FoldedState = FoldedState()
    has_reverted: bool = False


class ConfigState(NamedTuple):
    """The stream, the entry VMs, and what is on its way.

    Attributes:
        stream: All records ever appended.
        max_records: Records that may be appended.
        earliest: Offset of the first record that is still kept.
        vms: The entry VMs.
        bases: For each operator, the version that it proposed over, or -1.
        writing: Snapshot that may still land.
        carried: State of a VM that may reach another, at any time.
        events: Kinds of events that may still happen.
    """

    stream: tuple[Record, ...] = ()
    max_records: int = 5
    earliest_offset: int = 0
    vms: tuple[Vm, ...] = (Vm(2), Vm(1))
    proposal_bases: tuple[int, ...] = (-1, -1)
    pending_snapshot: FoldedState | None = None
    sent_state: FoldedState | None = None
    remaining_events: frozenset[str] = frozenset()
