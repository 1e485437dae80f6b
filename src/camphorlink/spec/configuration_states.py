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

NO_BASE = 'approval-without-base-version'
STALE_SNAPSHOT = 'snapshot-closes-a-gap-without-offset-check'
LATE_SNAPSHOT = 'snapshot-taken-by-a-current-vm'
BARE_SNAPSHOT = 'snapshot-without-open-proposals'
SKIPPED_GAP = 'gap-skipped-over'
BLIND_PEER = 'peer-state-taken-without-comparing'
OLD_JUDGE = 'older-release-passes-over-newer-rules'


class Folded(NamedTuple):
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
    folded: Folded | None = None


class Vm(NamedTuple):
    """An entry VM.

    Attributes:
        release: Newest set of rules that it has.
        folded: Its state.
        has_reverted: Whether its version ever fell within one process.
    """

    release: int
    folded: Folded = Folded()
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
    earliest: int = 0
    vms: tuple[Vm, ...] = (Vm(2), Vm(1))
    bases: tuple[int, ...] = (-1, -1)
    writing: Folded | None = None
    carried: Folded | None = None
    events: frozenset[str] = frozenset()
