"""Quotas of teams and limits of services, held across all entry VMs.

A part of every limit is split evenly between the VMs, so that a first job
never waits for messages; the rest goes where the demand is, which the VMs
tell each other.  All work the shares out alike.  A share falls at once and
rises only when all others have heard why, so that shares of VMs that hear
each other add up to no more than the limit.  A VM that is not heard keeps
the demand that it told last: a cut-off zone neither loses nor gains.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from camphorlink.internal.core.process.members import MemberState, MemberView
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job import Job
from camphorlink.internal.core.version.manifest import Manifest

#: Share of a limit that is split evenly whatever the demand.
EVEN_SHARE = 0.25
#: Period of the demand reports, in seconds.
REPORT_PERIOD_S = 0.5
#: A share rises after this time, in seconds: three reports, one may be late.
RAISE_DELAY_S = 1.5
#: Starts that may be saved up, in seconds of the share of the rate.
START_BURST_S = 0.2
ROUNDING_TOLERANCE = 1e-6


class LimitKind(enum.Enum):
    """What a limit is set on."""

    TEAM = 'team'
    SERVICE = 'service'


class LimitKey(NamedTuple):
    """Whose limit it is; ``kind`` is a value of ``LimitKind``."""

    kind: str
    name: str


class Limit(NamedTuple):
    """What is allowed over all VMs, ``None`` for no limit."""

    max_running: int | None
    max_starts_per_s: int | None


class LimitUse:
    """One limit at this VM: its share, and what of it is used."""

    def __init__(self, limit: Limit) -> None:
        """Starts with nothing of it."""
        self.limit = limit
        self.share = 0.0
        self.running = 0
        self._tokens = 1.0
        self._filled_s = 0.0
        self._raise_due_s: float | None = None

    def update_share(self, share: float, now: float) -> None:
        """Takes a lower share at once and a higher one a little later."""
        if share <= self.share:
            self.share = share
            self._raise_due_s = None
        elif self._raise_due_s is None:
            self._raise_due_s = now + RAISE_DELAY_S
        elif self._raise_due_s <= now:
            self.share = share
            self._raise_due_s = None

    def may_start(self, now: float) -> bool:
        """Whether one more task may start."""
        limit = self.limit
        is_full = limit.max_running is not None and self.running >= int(
            limit.max_running * self.share + ROUNDING_TOLERANCE,
        )
        if is_full:
            return False
        if limit.max_starts_per_s is None:
            return True
        rate = limit.max_starts_per_s * self.share
        filled = self._tokens + rate * (now - self._filled_s)
        self._tokens = min(filled, max(rate * START_BURST_S, 1))
        self._filled_s = now
        return self._tokens >= 1

    def note_start(self) -> None:
        """Uses one start up."""
        self.running += 1
        self._tokens -= 1


class Quotas:
    """All limits at one entry VM."""

    def __init__(self, home: Home) -> None:
        """Starts without any limit."""
        self._home = home
        self._use_by_key: dict[LimitKey, LimitUse] = {}
        self._demand_by_vm: dict[Home, Mapping[LimitKey, int]] = {}
        self._vms: tuple[Home, ...] = (home,)

    def install(self, manifest: Manifest, now: float) -> None:
        """Takes over the limits of a new version."""
        known = self._use_by_key
        self._use_by_key = {}
        for key, limit in _limits_of(manifest).items():
            use = known.get(key) or LimitUse(limit)
            use.limit = limit
            self._use_by_key[key] = use
            if key not in known:
                use.share = self._share_of(key, limit)

    def change_view(self, view: MemberView) -> None:
        """Takes over which VMs share the limits."""
        vms = {
            member.home
            for member in view.members
            if member.state is not MemberState.GONE
        }
        self._vms = tuple(sorted(vms | {self._home}))
        for home in set(self._demand_by_vm) - vms:
            self._demand_by_vm.pop(home)

    def hear(self, peer: Home, demand: Mapping[LimitKey, int]) -> None:
        """Learns what a peer could use."""
        self._demand_by_vm[peer] = demand

    def report(
        self,
        waiting: Mapping[LimitKey, int],
        now: float,
    ) -> dict[LimitKey, int]:
        """Works the shares out anew and returns this VM's own demand.

        Args:
            waiting: Tasks that wait, by what limits them.
            now: Core time in seconds.
        """
        demand = {
            key: use.running + waiting.get(key, 0)
            for key, use in self._use_by_key.items()
            if use.running or waiting.get(key)
        }
        self._demand_by_vm[self._home] = demand
        for key, use in self._use_by_key.items():
            use.update_share(self._share_of(key, use.limit), now)
        return demand

    def may_start(self, job: Job, now: float) -> bool:
        """Whether one more task of a job may start."""
        uses = self._uses_of_job(job)
        return all(use.may_start(now) for use in uses)

    def note_start(self, job: Job) -> None:
        """Counts a task that starts."""
        for use in self._uses_of_job(job):
            use.note_start()

    def note_end(self, job: Job) -> None:
        """Counts a task that has ended."""
        for use in self._uses_of_job(job):
            use.running = max(use.running - 1, 0)

    def _uses_of_job(self, job: Job) -> list[LimitUse]:
        if not self._use_by_key:
            return []
        found = (
            self._use_by_key.get(LimitKey('team', job.team)),
            self._use_by_key.get(LimitKey('service', job.service)),
        )
        return [use for use in found if use is not None]

    def _share_of(self, key: LimitKey, limit: Limit) -> float:
        """Returns this VM's part of a limit, from 0 to 1."""
        total = limit.max_running
        if total is None:
            total = limit.max_starts_per_s or 1
        even_part = int(total * EVEN_SHARE / len(self._vms))
        demands = {
            vm: max(self._demand_by_vm.get(vm, {}).get(key, 0) - even_part, 0)
            for vm in self._vms
        }
        demanded_part = total - even_part * len(self._vms)
        return (
            even_part + distribute_units(demanded_part, demands)[self._home]
        ) / total


def distribute_units(
    total: int, demands: Mapping[Home, int]
) -> dict[Home, int]:
    """Shares whole units out: nobody over its demand, else as even as can be.

    What nobody demands is split evenly as well.
    """
    shares = dict.fromkeys(demands, 0)
    left = total
    open_vms = sorted(demands, key=lambda vm: (demands[vm], vm))
    while open_vms:
        part = left // len(open_vms)
        vm = open_vms.pop(0)
        shares[vm] = min(demands[vm], part)
        left -= shares[vm]
    for number, home in enumerate(sorted(shares)):
        shares[home] += left // len(shares) + (number < left % len(shares))
    return shares


def _limits_of(manifest: Manifest) -> dict[LimitKey, Limit]:
    limits = {
        LimitKey(LimitKind.TEAM.value, team.name): Limit(
            team.max_running,
            team.max_starts_per_s,
        )
        for team in manifest.teams_by_name.values()
    }
    limits.update(
        (
            LimitKey(LimitKind.SERVICE.value, service.name),
            Limit(service.max_running, service.max_starts_per_s),
        )
        for service in manifest.services_by_name.values()
    )
    return {
        key: limit
        for key, limit in limits.items()
        if limit != Limit(None, None)
    }
