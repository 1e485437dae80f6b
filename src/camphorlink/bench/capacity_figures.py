"""Computes the figures of docs/CAPACITY.md from measured slopes.

A slope is the cost of one more unit, such as a task start or a back end.  The
figures are the loads and costs at the required size.
"""

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any, NamedTuple

from camphorlink.bench.capacity_control import (
    compute_control_figures,
    compute_sharing_figures,
    format_control_table,
    format_percent,
)
from camphorlink.bench.capacity_jobs import compute_job_figures
from camphorlink.internal.core.process.audit_buffer import (
    MAX_BATCH_RECORDS,
    MAX_BUFFERED_RECORDS,
)
from camphorlink.internal.core.request.claim_records import PARTITIONS

S_PER_DAY = 86_400
US_PER_S = 1_000_000
US_PER_MS = 1000
PER_THOUSAND = 1000
BYTES_PER_MB = 1_000_000

#: Required size of the installation.
BACKENDS = 1900
STARTS_PER_S = 42_000
TEAMS = 150
REGIONS = 6
ZONES = 18
CONFIG_CHANGES_PER_DAY = 1900
FAILURES_PER_DAY = 29
REPLACEMENTS_PER_DAY = 320

#: Design parameters for that size.
VMS_PER_ZONE = 8
MEAN_JOB_TASKS = 25
MEAN_RESPONSE_S = 1.0
RELAYED_SHARE = 0.05
ANSWER_MEMORY_MB = 64
#: Task starts per second and core of the daemon, from ``make measure``.
STARTS_PER_CORE_S = 2227
#: Appends per second that the log service accepts; the requirements say
#: "several hundred".
LOG_APPENDS_PER_S = 300
AUDIT_APPENDS_PER_VM_S = 0.5
PERCENT = 100


class SiteLoad(NamedTuple):
    """Load of the installation and of each entry VM at the required size.

    Attributes:
        vms: Number of entry VMs in all zones.
        starts_per_s: Task starts per second at one entry VM.
        jobs_per_s: Jobs per second at one entry VM.
        changes_per_s: Configuration changes per second.
    """

    vms: int
    starts_per_s: float
    jobs_per_s: float
    changes_per_s: float


GetMedian = Callable[[str], float]
#: Rows of ``make measure-control``, one per number of peers.
ControlRows = Sequence[Mapping[str, float]]


def compute_figures(
    slopes: Mapping[str, Any],
    control: ControlRows,
) -> dict[str, str]:
    """Returns all figures of the page by name, formatted as text.

    Args:
        slopes: Measured slopes by name.
        control: Cost of control traffic, one row per number of peers.
    """
    load = _compute_site_load()
    median = partial(_read_median, slopes)
    return {
        **_size_figures(),
        **_vm_load_figures(load),
        **_config_figures(load, median),
        **_home_figures(load, median),
        **_relay_figures(load, median),
        **_claim_figures(load, median),
        **_audit_figures(median),
        **compute_control_figures(control),
        **compute_sharing_figures(load.vms, median),
        **compute_job_figures(
            STARTS_PER_S,
            load.jobs_per_s * load.vms,
            ZONES,
            load.vms,
            median,
        ),
        'slope_table': _format_slope_table(slopes),
        'control_table': format_control_table(control),
    }


def _read_median(slopes: Mapping[str, Any], name: str) -> float:
    return float(slopes[name]['median'])


def _compute_site_load() -> SiteLoad:
    vms = ZONES * VMS_PER_ZONE
    starts_per_s = STARTS_PER_S / vms
    return SiteLoad(
        vms=vms,
        starts_per_s=starts_per_s,
        jobs_per_s=starts_per_s / MEAN_JOB_TASKS,
        changes_per_s=CONFIG_CHANGES_PER_DAY / S_PER_DAY,
    )


def _size_figures() -> dict[str, str]:
    return {
        'workers': f'{BACKENDS:,}',
        'starts_per_s': f'{STARTS_PER_S:,}',
        'teams': str(TEAMS),
        'zones': str(ZONES),
        'regions': str(REGIONS),
        'changes_per_day': f'{CONFIG_CHANGES_PER_DAY:,}',
        'vms_per_zone': str(VMS_PER_ZONE),
        'mean_job_tasks': str(MEAN_JOB_TASKS),
        'workers_per_zone': f'{BACKENDS / ZONES:.0f}',
        'failures_per_day': str(FAILURES_PER_DAY),
        'replacements_per_day': str(REPLACEMENTS_PER_DAY),
        'replaced_every_s': f'{S_PER_DAY / REPLACEMENTS_PER_DAY:.0f}',
    }


def _vm_load_figures(load: SiteLoad) -> dict[str, str]:
    lost_jobs = load.jobs_per_s * MEAN_RESPONSE_S
    return {
        'vms': str(load.vms),
        'starts_per_vm_s': f'{load.starts_per_s:.0f}',
        'jobs_per_vm_s': f'{load.jobs_per_s:.1f}',
        'changes_per_s': f'{load.changes_per_s:.3f}',
        'jobs_lost_per_failure': f'{lost_jobs:.0f}',
        'jobs_lost_per_day': f'{lost_jobs * FAILURES_PER_DAY:.0f}',
        'jobs_per_day': f'{load.jobs_per_s * load.vms * S_PER_DAY:,.0f}',
    }


def _config_figures(load: SiteLoad, median: GetMedian) -> dict[str, str]:
    change_bytes = median('config_change_bytes')
    change_us = median('config_change_us')
    backend_bytes = BACKENDS * median('manifest_backend_bytes')
    state_bytes = backend_bytes + TEAMS * median('manifest_team_bytes')
    return {
        'config_bytes_per_s': f'{change_bytes * load.changes_per_s:.1f}',
        'config_cpu_percent': format_percent(
            change_us * load.changes_per_s / US_PER_S
        ),
        'config_state_mb': f'{state_bytes / BYTES_PER_MB:.1f}',
        'config_appends_per_s': f'{2 * load.changes_per_s:.3f}',
        'config_change_ms': f'{change_us / US_PER_MS:.0f}',
        'config_change_bytes': f'{change_bytes:.0f}',
    }


def _home_figures(load: SiteLoad, median: GetMedian) -> dict[str, str]:
    core_share = median('core_start_us') * load.starts_per_s / US_PER_S
    answer_bytes = MEAN_JOB_TASKS * median('task_bytes')
    job_bytes = median('submission_bytes') + answer_bytes
    jobs_held = ANSWER_MEMORY_MB * BYTES_PER_MB / job_bytes
    daemon_share = load.starts_per_s / STARTS_PER_CORE_S
    return {
        'home_core_percent': format_percent(core_share),
        'home_daemon_percent': f'{daemon_share * PERCENT:.0f}',
        'starts_per_core_s': f'{STARTS_PER_CORE_S:,}',
        'home_job_bytes': f'{job_bytes:,.0f}',
        'home_jobs_held': f'{jobs_held:,.0f}',
        'home_held_s': f'{jobs_held / load.jobs_per_s:,.0f}',
        'answer_mb': str(ANSWER_MEMORY_MB),
    }


def _relay_figures(load: SiteLoad, median: GetMedian) -> dict[str, str]:
    relayed_jobs_per_s = load.jobs_per_s * RELAYED_SHARE
    extra_us = median('relayed_job_us') - median('single_job_us')
    return {
        'relayed_percent': f'{RELAYED_SHARE * PERCENT:.0f}',
        'relayed_per_s': f'{relayed_jobs_per_s:.2f}',
        'relay_extra_us': f'{extra_us:.0f}',
        'relay_cpu_percent': format_percent(
            relayed_jobs_per_s * extra_us / US_PER_S
        ),
        'relay_bytes_per_s': (
            f'{relayed_jobs_per_s * median("relayed_job_bytes"):.0f}'
        ),
    }


def _claim_figures(load: SiteLoad, median: GetMedian) -> dict[str, str]:
    appends_per_claim = median('appends_per_1000_claims') / PER_THOUSAND
    budget_per_s = LOG_APPENDS_PER_S - AUDIT_APPENDS_PER_VM_S * load.vms
    return {
        'claim_appends_per_1000': f'{appends_per_claim * PER_THOUSAND:.0f}',
        'claim_streams': str(PARTITIONS),
        'log_appends_per_s': str(LOG_APPENDS_PER_S),
        'claim_budget_per_s': f'{budget_per_s:.0f}',
        'claims_at_budget_per_s': f'{budget_per_s / appends_per_claim:,.0f}',
        'all_jobs_per_s': f'{load.jobs_per_s * load.vms:,.0f}',
    }


def _audit_figures(median: GetMedian) -> dict[str, str]:
    buffered_bytes = MAX_BUFFERED_RECORDS * median('audit_buffer_bytes')
    return {
        'audit_mb': f'{buffered_bytes / BYTES_PER_MB:.1f}',
        'audit_records': f'{MAX_BUFFERED_RECORDS:,}',
        'audit_record_bytes': f'{median("audit_record_bytes"):.0f}',
        'audit_batch': str(MAX_BATCH_RECORDS),
    }


def _format_slope_table(slopes: Mapping[str, Any]) -> str:
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
