"""Merges the reports of other VMs about zones without direct links.

A VM reports its own zone over its links to other zones.  To its own zone it
forwards the reports that VMs of other zones sent about their own zones.
Reports are forwarded only once, so they can't circulate.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from camphorlink.internal.core.connection.peer_messages import (
    ReportedMember,
    ZoneReport,
)
from camphorlink.internal.core.process.members import Member, MemberState
from camphorlink.internal.core.request.identifiers import Home

#: Time after which a process that is no longer reported is removed.
FORGET_UNREPORTED_S = 600.0

#: States from best to worst; the best reported state is used.
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


class _UnreportedMember(NamedTuple):
    member: Member
    since_s: float


class ZoneReports:
    """Stores the newest report about each zone from each reporter.

    Attributes:
        members_by_home: Merged members of all reports, including members
            that were reported before and are not removed yet.
    """

    def __init__(self) -> None:
        """Creates a store without reports."""
        self.members_by_home: dict[Home, Member] = {}
        self._rows_by_source: dict[_Source, tuple[ReportedMember, ...]] = {}
        self._unreported_by_home: dict[Home, _UnreportedMember] = {}

    def put(self, reporter: Home, report: ZoneReport, now: float) -> None:
        """Replaces a reporter's report about a zone."""
        source = _Source(report.zone, reporter)
        if self._rows_by_source.get(source) != report.rows:
            self._rows_by_source[source] = report.rows
            self._merge(now)

    def drop(self, reporters: Collection[Home], now: float) -> None:
        """Removes all reports of reporters that are silent."""
        stale = [
            source
            for source in self._rows_by_source
            if source.reporter in reporters
        ]
        for source in stale:
            self._rows_by_source.pop(source)
        if stale:
            self._merge(now)

    def prune(self, now: float) -> None:
        """Removes members that were not reported for FORGET_UNREPORTED_S."""
        for home, unreported in list(self._unreported_by_home.items()):
            if now - unreported.since_s > FORGET_UNREPORTED_S:
                self._unreported_by_home.pop(home)
                self.members_by_home.pop(home, None)

    def list_direct_reports(self) -> list[ZoneReport]:
        """Builds reports to forward about zones, from their own VMs only."""
        members = self._merge_rows(direct_only=True)
        zones = {
            source.zone
            for source in self._rows_by_source
            if source.reporter.zone == source.zone
        }
        return [
            build_report(
                zone,
                [
                    members[home]
                    for home in sorted(members)
                    if home.zone == zone
                ],
            )
            for zone in sorted(zones)
        ]

    def _merge(self, now: float) -> None:
        """Merges all reports and keeps members that are no longer reported.

        Such a member counts as gone if other members of its zone are still
        reported, and as suspect if none is, since its zone may be cut off.
        """
        reported = self._merge_rows()
        zones = {home.zone for home in reported}
        for home, member in self.members_by_home.items():
            if home not in reported and home not in self._unreported_by_home:
                self._unreported_by_home[home] = _UnreportedMember(member, now)
        for home in reported:
            self._unreported_by_home.pop(home, None)
        for home, unreported in self._unreported_by_home.items():
            is_zone_reported = home.zone in zones
            state = (
                MemberState.GONE if is_zone_reported else MemberState.SUSPECT
            )
            reported[home] = unreported.member._replace(state=state)
        self.members_by_home = reported

    def _merge_rows(self, *, direct_only: bool = False) -> dict[Home, Member]:
        merged: dict[Home, Member] = {}
        for source, rows in self._rows_by_source.items():
            if direct_only and source.reporter.zone != source.zone:
                continue
            for row in rows:
                member = _decode_row(source.zone, row)
                known = merged.get(member.home)
                if known is None or _rank(member) < _rank(known):
                    merged[member.home] = member
        return merged


def build_report(zone: str, members: Iterable[Member]) -> ZoneReport:
    """Builds the report about a zone from its members that are not gone."""
    return ZoneReport(
        zone,
        tuple(
            ReportedMember(
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


def decode_state(text: str) -> MemberState:
    """Decodes a state; an unknown one of a newer release means leaving."""
    try:
        return MemberState(text)
    except ValueError:
        return MemberState.LEAVING


def _decode_row(zone: str, row: ReportedMember) -> Member:
    return Member(
        Home(zone, row.vm, row.incarnation),
        row.address,
        decode_state(row.state),
        row.weight,
    )


def _rank(member: Member) -> int:
    return _RANK_BY_STATE[member.state]
