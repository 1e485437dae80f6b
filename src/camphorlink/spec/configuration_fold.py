"""Fold of the records of the configuration stream."""

from camphorlink.spec import configuration_states as config


def fold(
    folded: config.FoldedState,
    record: config.Record,
    release: int,
    mutation: str = '',
) -> config.FoldedState:
    """Folds the record at ``folded.next_offset`` into a state.

    A release without the rules that a record requires stops at that record.

    Args:
        folded: State before the record.
        record: Record to fold.
        release: Newest set of rules that the release supports.
        mutation: Name of the mutation to apply, or an empty string.

    Returns:
        The state after the record, or the same state if the release stops at
        the record.
    """
    advanced = folded._replace(next_offset=folded.next_offset + 1)
    if record.kind == config.SNAPSHOT:
        if (
            mutation == config.SNAPSHOT_ON_CURRENT_VM
            and record.folded is not None
        ):
            return record.folded._replace(next_offset=advanced.next_offset)
        return advanced
    if record.base != folded.version and mutation != config.NO_BASE_CHECK:
        return advanced
    if record.kind == config.RULESET:
        if release >= 2:
            return _accept(advanced, record)._replace(ruleset=2)
        return advanced if mutation == config.SKIPPED_RULESET else folded
    if record.kind == config.APPROVED:
        if record.manifest in folded.proposals:
            accepted = _accept(advanced, record)
            return accepted._replace(manifest=record.manifest)
        return advanced
    return _propose(advanced, record)


def fold_prefix(
    stream: tuple[config.Record, ...],
    length: int,
) -> config.FoldedState:
    """Folds the first ``length`` records with the newest release."""
    folded = config.FoldedState()
    for record in stream[:length]:
        folded = fold(folded, record, release=2)
    return folded


def _propose(
    advanced: config.FoldedState,
    record: config.Record,
) -> config.FoldedState:
    if advanced.ruleset > 1 and record.manifest == config.BAD_MANIFEST:
        return advanced
    return advanced._replace(
        proposals=advanced.proposals | {record.manifest},
    )


def _accept(
    advanced: config.FoldedState, record: config.Record
) -> config.FoldedState:
    is_unseen = record.base != advanced.version
    return advanced._replace(
        version=advanced.version + 1,
        proposals=frozenset(),
        has_overwritten=advanced.has_overwritten or is_unseen,
    )
