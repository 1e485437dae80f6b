"""Control at full size: membership, lending and demand reports of a VM."""

from collections.abc import Callable, Mapping, Sequence

from camphorlink.bench.control import OVERHEAD_BYTES
from camphorlink.internal.core.connection.want_budget import WANTS_PER_S
from camphorlink.internal.core.request.quotas import REPORT_PERIOD_S

PERCENT = 100
#: Most peers of a VM at 18 zones of 8, by the membership experiment.
PEERS_AT_SIZE = 12
#: Other entry VMs in a zone of 8.
ZONE_PEERS = 7
#: Messages that one want calls forth, its own two included.
MESSAGES_PER_WANT = 13


def percent(share: float) -> str:
    """Writes a share as percent."""
    return f'{share * PERCENT:.3f}'


def control_figures(rows: Sequence[Mapping[str, float]]) -> dict[str, str]:
    """Extends the measured lines of control to the peers at full size."""
    first, last = rows[0], rows[-1]
    span = last['peers'] - first['peers']

    def extend(name: str) -> float:  # noqa: WPS430 shares the two ends
        slope = (last[name] - first[name]) / span
        return first[name] + slope * (PEERS_AT_SIZE - first['peers'])

    sent = extend('bytes_a_second')
    pings = extend('ping_bytes_a_second')
    return {
        'peers_at_size': str(PEERS_AT_SIZE),
        'control_cpu_percent': percent(extend('cpu_share')),
        'control_sent_bytes': f'{sent:,.0f}',
        'control_ping_bytes': f'{pings:,.0f}',
        'control_bytes': f'{sent + pings:,.0f}',
    }


def control_table(rows: Sequence[Mapping[str, float]]) -> str:
    """Writes the measured rows as a table."""
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


def sharing_figures(
    vms: int,
    median: Callable[[str], float],
) -> dict[str, str]:
    """Works out what the sharing of slots and of limits sends."""
    wants = WANTS_PER_S / ZONE_PEERS**2
    loan_bytes = median('loan_bytes') + OVERHEAD_BYTES
    report_bytes = median('demand_report_bytes') + OVERHEAD_BYTES
    reports = (vms - 1) / REPORT_PERIOD_S
    return {
        'wants_per_s': f'{wants:.2f}',
        'lending_messages_per_s': f'{wants * MESSAGES_PER_WANT:.1f}',
        'lending_bytes_per_s': f'{wants * MESSAGES_PER_WANT * loan_bytes:.0f}',
        'demand_kb_per_s': f'{reports * report_bytes / 1000:,.0f}',
        'demand_report_bytes': f'{median("demand_report_bytes"):,.0f}',
        'demand_period_s': str(REPORT_PERIOD_S),
    }
