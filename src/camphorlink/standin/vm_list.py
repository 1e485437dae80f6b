"""The platform's list of entry VMs, which shows changes after a lag."""

from typing import Any, NamedTuple


class _Change(NamedTuple):
    changed_s: float
    entry: dict[str, Any]


class VmList:
    """List of entry VMs with a delayed view of its changes.

    Attributes:
        lag_s: Delay until a change is visible, in seconds; may be changed at
            any time.
    """

    def __init__(self, lag_s: float = 0.0) -> None:
        """Creates an empty list."""
        self.lag_s = lag_s
        self._changes: list[_Change] = []

    def put(self, entry: dict[str, Any], now: float) -> None:
        """Adds or replaces a VM; the state ``gone`` removes it."""
        self._changes.append(_Change(now, entry))

    def show(self, now: float) -> list[dict[str, Any]]:
        """Returns the list as it stood ``lag_s`` ago."""
        shown = {
            (change.entry['zone'], change.entry['vm']): change.entry
            for change in self._changes
            if change.changed_s + self.lag_s <= now
        }
        return [vm for vm in shown.values() if vm['state'] != 'gone']
