"""The arithmetic behind docs/CAPACITY.md: from slopes to loads at full size."""

from collections.abc import Callable
from typing import Any, NamedTuple

S_PER_DAY = 86_400
US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000

#: The size to design for, as the users' letter states it.
WORKERS = 1900
STARTS_PER_S = 42_000
TEAMS = 150
REGIONS = 6
ZONES = 18
CHANGES_PER_DAY = 1900
FAILURES_PER_DAY = 29
REPLACEMENTS_PER_DAY = 320
CONTROL_CORE_SHARE = 0.023
CONTROL_BYTES_PER_S = 4000
CONTROL_MB = 128

#: Choices of this design at that size.
VMS_PER_ZONE = 8
MEAN_JOB_TASKS = 25
PERCENT = 100


class Site(NamedTuple):
    """Loads that follow from the size alone.

    Attributes:
        vms: Entry VMs in all zones.
        starts: Task starts a second at one entry VM.
        jobs: Jobs a second at one entry VM.
        changes: Configuration changes a second.
    """

    vms: int
    starts: float
    jobs: float
    changes: float


Median = Callable[[str], float]


def work_out(slopes: dict[str, Any]) -> dict[str, str]:
    """Returns every figure that the page names, ready to print.

    Args:
        slopes: Measured slopes by name.
    """
    site = _size_site()

    def median(name: str) -> float:  # noqa: WPS430 binds the slopes
        return float(slopes[name]['median'])

    return {
        **_letter_figures(),
        **_site_figures(site),
        **_config_figures(site, median),
        **_home_figures(site, median),
        'slope_table': _slope_table(slopes),
    }


def _size_site() -> Site:
    vms = ZONES * VMS_PER_ZONE
    starts = STARTS_PER_S / vms
    return Site(
        vms=vms,
        starts=starts,
        jobs=starts / MEAN_JOB_TASKS,
        changes=CHANGES_PER_DAY / S_PER_DAY,
    )


def _letter_figures() -> dict[str, str]:
    return {
        'workers': f'{WORKERS:,}',
        'starts_per_s': f'{STARTS_PER_S:,}',
        'teams': str(TEAMS),
        'zones': str(ZONES),
        'regions': str(REGIONS),
        'changes_per_day': f'{CHANGES_PER_DAY:,}',
        'vms_per_zone': str(VMS_PER_ZONE),
        'mean_job_tasks': str(MEAN_JOB_TASKS),
    }


def _site_figures(site: Site) -> dict[str, str]:
    return {
        'vms': str(site.vms),
        'starts_per_vm_s': f'{site.starts:.0f}',
        'jobs_per_vm_s': f'{site.jobs:.1f}',
        'changes_per_s': f'{site.changes:.3f}',
    }


def _config_figures(site: Site, median: Median) -> dict[str, str]:
    change_bytes = median('config_change_bytes')
    change_us = median('config_change_us')
    state_bytes = WORKERS * median('manifest_backend_bytes') + TEAMS * median(
        'manifest_team_bytes'
    )
    return {
        'config_bytes_per_s': f'{change_bytes * site.changes:.1f}',
        'config_cpu_percent': _percent(change_us * site.changes / US_PER_S),
        'config_state_mb': f'{state_bytes / BYTES_PER_MB:.1f}',
        'config_appends_per_s': f'{2 * site.changes:.3f}',
        'config_change_ms': f'{change_us / 1000:.0f}',
    }


def _home_figures(site: Site, median: Median) -> dict[str, str]:
    core_share = median('core_start_us') * site.starts / US_PER_S
    job_bytes = median('submission_bytes') + (
        MEAN_JOB_TASKS * median('task_bytes')
    )
    budget_bytes = CONTROL_MB * BYTES_PER_MB
    return {
        'home_core_percent': _percent(core_share),
        'home_job_bytes': f'{job_bytes:,.0f}',
        'home_jobs_in_budget': f'{budget_bytes / job_bytes:,.0f}',
        'home_budget_s': f'{budget_bytes / job_bytes / site.jobs:,.0f}',
    }


def _percent(share: float) -> str:
    return f'{share * PERCENT:.3f}'


def _slope_table(slopes: dict[str, Any]) -> str:
    rows = [
        '| slope | unit | median | least | most | runs | what |',
        '|---|---|---|---|---|---|---|',
    ]
    rows.extend(
        f'| {name} | {slope["unit"]} | {slope["median"]} | {slope["least"]} '
        f'| {slope["most"]} | {slope["runs"]} | {slope["what"]} |'
        for name, slope in sorted(slopes.items())
    )
    return '\n'.join(rows)
