"""Computes the control traffic of an entry VM at full size.

Control traffic consists of membership messages, slot lending and demand
reports.
"""

from collections.abc import Callable, Mapping, Sequence

from camphorlink.bench.control import OVERHEAD_BYTES
from camphorlink.internal.core.connection.want_budget import WANTS_PER_S
from camphorlink.internal.core.request.quotas import REPORT_PERIOD_S

PERCENT = 100
#: Largest number of peers of a VM with 18 zones of 8 VMs, from the membership
#: experiment.
MAX_PEERS_PER_VM = 12
#: Other entry VMs in a zone of 8 VMs.
PEERS_IN_ZONE = 7
#: Messages that one want causes, including the two messages of the want.
MESSAGES_PER_WANT = 13


def format_percent(share: float) -> str:
    """Formats a share as a percentage with three decimals."""
    return f'{share * PERCENT:.3f}'


def compute_control_figures(
    rows: Sequence[Mapping[str, float]],
) -> dict[str, str]:
    """Extrapolates the cost of control traffic to the peers at full size.

    The extrapolation is linear in the number of peers, through the first and
    the last measured row.
    """
    first, last = rows[0], rows[-1]
    peer_span = last['peers'] - first['peers']

    def extrapolate(name: str) -> float:  # noqa: WPS430 uses both rows
        slope = (last[name] - first[name]) / peer_span
        return first[name] + slope * (MAX_PEERS_PER_VM - first['peers'])

    sent_bytes_per_s = extrapolate('bytes_a_second')
    ping_bytes_per_s = extrapolate('ping_bytes_a_second')
    return {
        'peers_at_size': str(MAX_PEERS_PER_VM),
        'control_cpu_percent': format_percent(extrapolate('cpu_share')),
        'control_sent_bytes': f'{sent_bytes_per_s:,.0f}',
        'control_ping_bytes': f'{ping_bytes_per_s:,.0f}',
        'control_bytes': f'{sent_bytes_per_s + ping_bytes_per_s:,.0f}',
    }


def format_control_table(rows: Sequence[Mapping[str, float]]) -> str:
    """Formats the measured rows as a Markdown table."""
    lines = [
        '| peers | % of a core | sent B/s | pings B/s | in force s, median |',
        '|---|---|---|---|---|',
    ]
    lines.extend(
        f'| {row["peers"]} | {row["cpu_share"] * PERCENT:.2f} '
        f'| {row["bytes_a_second"]:,.0f} | {row["ping_bytes_a_second"]:,.0f} '
        f'| {row["in_force_s_median"]} |'
        for row in rows
    )
    return '\n'.join(lines)


def compute_sharing_figures(
    vms: int,
    median: Callable[[str], float],
) -> dict[str, str]:
    """Computes the messages and bytes that slot and limit sharing send.

    Args:
        vms: Number of entry VMs.
        median: Returns the median of the slope with the given name.
    """
    wants_per_s = WANTS_PER_S / PEERS_IN_ZONE**2
    loan_bytes = median('loan_bytes') + OVERHEAD_BYTES
    report_bytes = median('demand_report_bytes') + OVERHEAD_BYTES
    reports_per_s = (vms - 1) / REPORT_PERIOD_S
    return {
        'wants_per_s': f'{wants_per_s:.2f}',
        'lending_messages_per_s': f'{wants_per_s * MESSAGES_PER_WANT:.1f}',
        'lending_bytes_per_s': (
            f'{wants_per_s * MESSAGES_PER_WANT * loan_bytes:.0f}'
        ),
        'demand_kb_per_s': f'{reports_per_s * report_bytes / 1000:,.0f}',
        'demand_report_bytes': f'{median("demand_report_bytes"):,.0f}',
        'demand_period_s': str(REPORT_PERIOD_S),
    }
