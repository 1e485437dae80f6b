"""The arithmetic behind docs/CAPACITY.md: from slopes to loads at full size."""

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, NamedTuple

from camphorlink.bench.capacity_control import (
    control_figures,
    control_table,
    percent,
    sharing_figures,
)
from camphorlink.bench.capacity_jobs import job_figures
from camphorlink.internal.core.process.audit_buffer import (
    MAX_BATCH,
    MAX_BUFFERED,
)
from camphorlink.internal.core.request.claim_records import PARTITIONS

S_PER_DAY = 86_400
US_PER_S = 1_000_000
US_PER_MS = 1000
PER_THOUSAND = 1000
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

#: Choices of this design at that size.
VMS_PER_ZONE = 8
MEAN_JOB_TASKS = 25
MEAN_RESPONSE_S = 1.0
RELAYED_SHARE = 0.05
ANSWER_MB = 64
#: Starts a second and a core of the daemon, from ``make measure``.
STARTS_PER_CORE_S = 2227
#: What is taken for "several hundred".
LOG_APPENDS_PER_S = 300
AUDIT_APPENDS_PER_VM_S = 0.5
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
#: Rows of ``make measure-control``, one for each number of peers.
ControlRows = Sequence[Mapping[str, float]]


def work_out(
    slopes: Mapping[str, Any],
    control: ControlRows,
) -> dict[str, str]:
    """Returns every figure that the page names, ready to print.

    Args:
        slopes: Measured slopes by name.
        control: What control costs, by the number of peers.
    """
    site = _size_site()
    median = partial(_median, slopes)
    return {
        **_letter_figures(),
        **_site_figures(site),
        **_config_figures(site, median),
        **_home_figures(site, median),
        **_relay_figures(site, median),
        **_claim_figures(site, median),
        **_audit_figures(median),
        **control_figures(control),
        **sharing_figures(site.vms, median),
        **job_figures(
            STARTS_PER_S,
            site.jobs * site.vms,
            ZONES,
            site.vms,
            median,
        ),
        'slope_table': _slope_table(slopes),
        'control_table': control_table(control),
    }


def _median(slopes: Mapping[str, Any], name: str) -> float:
    return float(slopes[name]['median'])


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
        'workers_per_zone': f'{WORKERS / ZONES:.0f}',
        'failures_per_day': str(FAILURES_PER_DAY),
        'replacements_per_day': str(REPLACEMENTS_PER_DAY),
        'replaced_every_s': f'{S_PER_DAY / REPLACEMENTS_PER_DAY:.0f}',
    }


def _site_figures(site: Site) -> dict[str, str]:
    lost_jobs = site.jobs * MEAN_RESPONSE_S
    return {
        'vms': str(site.vms),
        'starts_per_vm_s': f'{site.starts:.0f}',
        'jobs_per_vm_s': f'{site.jobs:.1f}',
        'changes_per_s': f'{site.changes:.3f}',
        'jobs_lost_per_failure': f'{lost_jobs:.0f}',
        'jobs_lost_per_day': f'{lost_jobs * FAILURES_PER_DAY:.0f}',
        'jobs_per_day': f'{site.jobs * site.vms * S_PER_DAY:,.0f}',
    }


def _config_figures(site: Site, median: Median) -> dict[str, str]:
    change_bytes = median('config_change_bytes')
    change_us = median('config_change_us')
    backend_bytes = WORKERS * median('manifest_backend_bytes')
    state_bytes = backend_bytes + TEAMS * median('manifest_team_bytes')
    return {
        'config_bytes_per_s': f'{change_bytes * site.changes:.1f}',
        'config_cpu_percent': percent(change_us * site.changes / US_PER_S),
        'config_state_mb': f'{state_bytes / BYTES_PER_MB:.1f}',
        'config_appends_per_s': f'{2 * site.changes:.3f}',
        'config_change_ms': f'{change_us / US_PER_MS:.0f}',
        'config_change_bytes': f'{change_bytes:.0f}',
    }


def _home_figures(site: Site, median: Median) -> dict[str, str]:
    core_share = median('core_start_us') * site.starts / US_PER_S
    answer_bytes = MEAN_JOB_TASKS * median('task_bytes')
    job_bytes = median('submission_bytes') + answer_bytes
    jobs_held = ANSWER_MB * BYTES_PER_MB / job_bytes
    daemon_share = site.starts / STARTS_PER_CORE_S
    return {
        'home_core_percent': percent(core_share),
        'home_daemon_percent': f'{daemon_share * PERCENT:.0f}',
        'starts_per_core_s': f'{STARTS_PER_CORE_S:,}',
        'home_job_bytes': f'{job_bytes:,.0f}',
        'home_jobs_held': f'{jobs_held:,.0f}',
        'home_held_s': f'{jobs_held / site.jobs:,.0f}',
        'answer_mb': str(ANSWER_MB),
    }


def _relay_figures(site: Site, median: Median) -> dict[str, str]:
    relayed = site.jobs * RELAYED_SHARE
    extra_us = median('relayed_job_us') - median('single_job_us')
    return {
        'relayed_percent': f'{RELAYED_SHARE * PERCENT:.0f}',
        'relayed_per_s': f'{relayed:.2f}',
        'relay_extra_us': f'{extra_us:.0f}',
        'relay_cpu_percent': percent(relayed * extra_us / US_PER_S),
        'relay_bytes_per_s': f'{relayed * median("relayed_job_bytes"):.0f}',
    }


def _claim_figures(site: Site, median: Median) -> dict[str, str]:
    appends_each = median('appends_per_1000_claims') / PER_THOUSAND
    budget = LOG_APPENDS_PER_S - AUDIT_APPENDS_PER_VM_S * site.vms
    return {
        'claim_appends_per_1000': f'{appends_each * PER_THOUSAND:.0f}',
        'claim_streams': str(PARTITIONS),
        'log_appends_per_s': str(LOG_APPENDS_PER_S),
        'claim_budget_per_s': f'{budget:.0f}',
        'claims_at_budget_per_s': f'{budget / appends_each:,.0f}',
        'all_jobs_per_s': f'{site.jobs * site.vms:,.0f}',
    }


def _audit_figures(median: Median) -> dict[str, str]:
    waiting_bytes = MAX_BUFFERED * median('audit_buffer_bytes')
    return {
        'audit_mb': f'{waiting_bytes / BYTES_PER_MB:.1f}',
        'audit_records': f'{MAX_BUFFERED:,}',
        'audit_record_bytes': f'{median("audit_record_bytes"):.0f}',
        'audit_batch': str(MAX_BATCH),
    }


def _slope_table(slopes: Mapping[str, Any]) -> str:
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
