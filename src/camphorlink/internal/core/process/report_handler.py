"""Selects the zone reports that must be sent to each peer."""

from collections.abc import Iterable

from camphorlink.internal.core.connection.peer_messages import ZoneReport
from camphorlink.internal.core.process.messages import SendPeer

#: Unchanged reports are repeated, because a loss may go undetected.
REPORT_REPEAT_S = 60.0


class ReportHandler:
    """Stores the reports last sent to each address and selects new ones."""

    def __init__(self) -> None:
        """Creates a handler that has sent no report."""
        self._sent_by_address: dict[str, dict[str, ZoneReport]] = {}
        self._sent_s_by_key: dict[tuple[str, str], float] = {}

    def forget(self, address: str) -> None:
        """Resends all reports to an address whose link was lost."""
        for zone in self._sent_by_address.pop(address, {}):
            self._sent_s_by_key.pop((address, zone), None)

    def keep_only(self, addresses: set[str]) -> None:
        """Drops the state of all addresses except these."""
        for address in set(self._sent_by_address) - addresses:
            self.forget(address)

    def take_due(
        self,
        address: str,
        reports: Iterable[ZoneReport],
        now: float,
    ) -> list[SendPeer]:
        """Returns the changed and the repeated reports, and marks them sent.

        A zone that was reported to the address before, and is missing in
        ``reports``, is sent as an empty report.

        Args:
            address: Address of the peer.
            reports: Current reports of all zones.
            now: Time in seconds.
        """
        sent_by_zone = self._sent_by_address.setdefault(address, {})
        current = {entry.zone: entry for entry in reports}
        for lost_zone in set(sent_by_zone) - set(current):
            current[lost_zone] = ZoneReport(lost_zone, ())
        unsent = [
            current[zone]
            for zone in sorted(current)
            if sent_by_zone.get(zone) != current[zone]
            or now - self._sent_s_by_key[(address, zone)] > REPORT_REPEAT_S
        ]
        for report in unsent:
            sent_by_zone[report.zone] = report
            self._sent_s_by_key[(address, report.zone)] = now
        return [SendPeer(address, due_report) for due_report in unsent]
