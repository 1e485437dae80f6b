"""Decides which zone reports a VM still owes to its peers."""

from collections.abc import Iterable

from camphorlink.internal.core.connection.peer_messages import ZoneReport
from camphorlink.internal.core.process.messages import SendPeer

#: A report is sent again after this time, in case it was lost unseen.
REPORT_REPEAT_S = 60.0


class ReportHandler:
    """Remembers what each address was told last."""

    def __init__(self) -> None:
        """Starts with nobody told anything."""
        self._sent_by_address: dict[str, dict[str, ZoneReport]] = {}
        self._sent_s_by_key: dict[tuple[str, str], float] = {}

    def forget(self, address: str) -> None:
        """Owes an address everything again, since its link was lost."""
        for zone in self._sent_by_address.pop(address, {}):
            self._sent_s_by_key.pop((address, zone), None)

    def keep_only(self, addresses: set[str]) -> None:
        """Forgets all addresses but these."""
        for address in set(self._sent_by_address) - addresses:
            self.forget(address)

    def take_due(
        self,
        address: str,
        reports: Iterable[ZoneReport],
        now: float,
    ) -> list[SendPeer]:
        """Lists what to tell an address: changes, and repeats.

        A zone that the address was told of, and that is no longer among
        ``reports``, is reported as heard from no more.
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
