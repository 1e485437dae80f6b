"""What other VMs report of zones to which this one has few links or none.

A VM reports its own zone over its links to other zones, and passes on to its
own zone what it heard there at first hand.  Reports are passed on once only,
so none of them goes round.
"""

from collections.abc import Iterable
from typing import NamedTuple

from camphorlink.internal.core.connection.peer_messages import (
    ZoneReport,
    ZoneRow,
)
from camphorlink.internal.core.process.members import Member, MemberState
from camphorlink.internal.core.request.identifiers import Home

#: States from the best to the worst; the best that anyone reports counts.
_RANK_BY_STATE = {
    MemberState.LIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SEALED: 2,
    MemberState.SUSPECT: 3,
    MemberState.GONE: 4,
}


class _Source(NamedTuple):
    zone: str
    reporter: Home


class ZoneReports:
    """Newest report about each zone from each reporter."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._rows_by_source: dict[_Source, tuple[ZoneRow, ...]] = {}

    def put(self, reporter: Home, report: ZoneReport) -> None:
        """Replaces what a reporter said of a zone."""
        self._rows_by_source[_Source(report.zone, reporter)] = report.rows

    def drop(self, reporter: Home) -> None:
        """Forgets what a reporter said that can't be heard any more."""
        for source in list(self._rows_by_source):
            if source.reporter == reporter:
                self._rows_by_source.pop(source)

    def members(self, *, first_hand: bool = False) -> dict[Home, Member]:
        """Merges the reports.

        Args:
            first_hand: Only what a zone's own VMs said of their zone.

        Returns:
            Each process that is reported, in the best state reported.
        """
        merged: dict[Home, Member] = {}
        for source, rows in self._rows_by_source.items():
            if first_hand and source.reporter.zone != source.zone:
                continue
            for row in rows:
                member = _read_row(source.zone, row)
                known = merged.get(member.home)
                if known is None or _rank(member) < _rank(known):
                    merged[member.home] = member
        return merged

    def first_hand(self) -> list[ZoneReport]:
        """Writes what may be passed on: what each zone's own VMs said."""
        members = self.members(first_hand=True)
        zones = {
            source.zone
            for source in self._rows_by_source
            if source.reporter.zone == source.zone
        }
        return [
            write_report(
                zone,
                [
                    members[home]
                    for home in sorted(members)
                    if home.zone == zone
                ],
            )
            for zone in sorted(zones)
        ]


def write_report(zone: str, members: Iterable[Member]) -> ZoneReport:
    """Builds the report about a zone from the members known in it."""
    return ZoneReport(
        zone,
        tuple(
            ZoneRow(
                member.home.vm,
                member.home.incarnation,
                member.address,
                member.state.value,
                member.weight,
            )
            for member in members
            if member.state is not MemberState.GONE
        ),
    )


def read_state(text: str) -> MemberState:
    """Reads a state; one of a newer release counts as leaving."""
    try:
        return MemberState(text)
    except ValueError:
        return MemberState.LEAVING


def _read_row(zone: str, row: ZoneRow) -> Member:
    return Member(
        Home(zone, row.vm, row.incarnation),
        row.address,
        read_state(row.state),
        row.weight,
    )


def _rank(member: Member) -> int:
    return _RANK_BY_STATE[member.state]
