"""Quotas of teams and limits of services, enforced across all entry VMs.

Each limit is divided into shares of the entry VMs.  A part of the limit is
split evenly, so that the first job of a team never waits for messages.  The
remainder is divided by demand, which the VMs report to each other
periodically.  All VMs compute the shares by the same rule.  A share decreases
at once but increases only after a delay in which all other VMs receive the
same reports, so that the shares of connected VMs never exceed the limit in
sum.  The last reported demand of an unreachable VM stays in use, so a
partitioned zone neither loses nor gains shares.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from camphorlink.internal.core.process.members import MemberState, MemberView
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.request.job import Job
from camphorlink.internal.core.version.manifest import Manifest

#: Share of a limit that is split evenly, regardless of the demand.
EVEN_SHARE = 0.25
#: Period of the demand reports, in seconds.
REPORT_PERIOD_S = 0.5
#: Delay before a share increases, in seconds: three report periods, so that one
#: report may be late.
RAISE_DELAY_S = 1.5
#: Starts that an idle limit accumulates, in seconds at its share of the rate.
START_BURST_S = 0.2
#: Added before a share of a limit is rounded down to whole tasks.
ROUNDING_TOLERANCE = 1e-6


class LimitKind(enum.Enum):
    """Kind of the object that a limit applies to."""

    TEAM = 'team'
    SERVICE = 'service'


class LimitKey(NamedTuple):
    """Team or service that a limit applies to.

    Attributes:
        kind: Value of ``LimitKind``.
        name: Name of the team or service.
    """

    kind: str
    name: str


class Limit(NamedTuple):
    """Limit over all entry VMs; ``None`` where there is no limit.

    Attributes:
        max_running: Tasks that may run at a time.
        max_starts_per_s: Tasks that may start per second.
    """

    max_running: int | None
    max_starts_per_s: int | None


class LimitUse:
    """Share of one limit at this VM, and its use.

    The rate of starts is limited by a token bucket.

    Attributes:
        limit: Limit over all entry VMs.
        share: Share of this VM, from 0 to 1.
        running: Tasks of this VM that are running under the limit.
    """

    def __init__(self, limit: Limit) -> None:
        """Creates an unused limit with a share of zero."""
        self.limit = limit
        self.share = 0.0
        self.running = 0
        self._tokens = 1.0
        self._filled_s = 0.0
        self._raise_due_s: float | None = None

    def update_share(self, share: float, now: float) -> None:
        """Decreases the share at once, or increases it after a delay.

        Args:
            share: New share, from 0 to 1.
            now: Core time in seconds.
        """
        if share <= self.share:
            self.share = share
            self._raise_due_s = None
        elif self._raise_due_s is None:
            self._raise_due_s = now + RAISE_DELAY_S
        elif self._raise_due_s <= now:
            self.share = share
            self._raise_due_s = None

    def may_start(self, now: float) -> bool:
        """Returns whether one more task may start."""
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

    def record_start(self) -> None:
        """Counts a started task and removes a token for it."""
        self.running += 1
        self._tokens -= 1


class Quotas:
    """Enforces the quotas and limits at one entry VM."""

    def __init__(self, home: Home) -> None:
        """Creates quotas without limits.

        Args:
            home: Incarnation of this VM.
        """
        self._home = home
        self._use_by_key: dict[LimitKey, LimitUse] = {}
        self._demand_by_vm: dict[Home, Mapping[LimitKey, int]] = {}
        self._vms: tuple[Home, ...] = (home,)

    def install(self, manifest: Manifest, now: float) -> None:
        """Replaces the limits by those of a new configuration version."""
        previous_uses = self._use_by_key
        self._use_by_key = {}
        for key, limit in _limits_of(manifest).items():
            use = previous_uses.get(key) or LimitUse(limit)
            use.limit = limit
            self._use_by_key[key] = use
            if key not in previous_uses:
                use.share = self._share_of(key, limit)

    def change_view(self, view: MemberView) -> None:
        """Replaces the set of entry VMs that share the limits."""
        vms = {
            member.home
            for member in view.members
            if member.state is not MemberState.GONE
        }
        self._vms = tuple(sorted(vms | {self._home}))
        for home in set(self._demand_by_vm) - vms:
            self._demand_by_vm.pop(home)

    def record_demand(self, peer: Home, demand: Mapping[LimitKey, int]) -> None:
        """Records the demand that another entry VM reported."""
        self._demand_by_vm[peer] = demand

    def report(
        self,
        waiting: Mapping[LimitKey, int],
        now: float,
    ) -> dict[LimitKey, int]:
        """Recomputes the shares and returns the demand of this VM.

        Args:
            waiting: Number of waiting tasks by the limit that applies to them.
            now: Core time in seconds.

        Returns:
            Number of running and waiting tasks under each limit.
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
        """Returns whether one more task of a job may start."""
        uses = self._uses_of_job(job)
        return all(use.may_start(now) for use in uses)

    def record_start(self, job: Job) -> None:
        """Counts a started task under the limits of its job."""
        for use in self._uses_of_job(job):
            use.record_start()

    def record_end(self, job: Job) -> None:
        """Removes an ended task from the limits of its job."""
        for use in self._uses_of_job(job):
            use.running = max(use.running - 1, 0)

    def _uses_of_job(self, job: Job) -> list[LimitUse]:
        if not self._use_by_key:
            return []
        uses = (
            self._use_by_key.get(LimitKey('team', job.team)),
            self._use_by_key.get(LimitKey('service', job.service)),
        )
        return [use for use in uses if use is not None]

    def _share_of(self, key: LimitKey, limit: Limit) -> float:
        """Returns the share of this VM in a limit, from 0 to 1."""
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
    """Divides whole units among VMs by max-min fairness.

    No VM gets more than its demand while another demand is unmet.  Units that
    exceed the total demand are split evenly.

    Args:
        total: Units to divide.
        demands: Units that each VM demands.

    Returns:
        Units of each VM; their sum is ``total``.
    """
    shares = dict.fromkeys(demands, 0)
    remaining = total
    open_vms = sorted(demands, key=lambda vm: (demands[vm], vm))
    while open_vms:
        equal_part = remaining // len(open_vms)
        vm = open_vms.pop(0)
        shares[vm] = min(demands[vm], equal_part)
        remaining -= shares[vm]
    for number, home in enumerate(sorted(shares)):
        shares[home] += remaining // len(shares) + (
            number < remaining % len(shares)
        )
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
