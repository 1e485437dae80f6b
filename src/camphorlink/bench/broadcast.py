"""Measures how a configuration change spreads to 8, 24 and 144 entry VMs.

Run it with ``make measure-broadcast``.  It simulates several methods of
dissemination on virtual time and prints one JSON line for each case.
"""

import statistics
import zlib
from typing import Any

import click
import orjson

from camphorlink.bench.broadcast_fleet import (
    HEALED_AT_S,
    BroadcastFleet,
    Fault,
    LogReaders,
    SimulatedExchange,
    Sizes,
)
from camphorlink.bench.broadcast_tree import SpanningTree
from camphorlink.internal.core.process.zone_links import VmKey
from camphorlink.internal.core.version.acceptance import (
    ConfigState,
    approval_record,
    fold_record,
    patch_record,
    proposal_record,
)
from camphorlink.internal.core.version.snapshots import snapshot_record

FLEET_SIZES = (8, 24, 144)
SEEDS = range(5)
BACKEND_COUNT = 1900
TEAM_COUNT = 150
FAULTS = (
    Fault('none'),
    Fault('inner VM dead', is_inner_vm_dead=True),
    Fault('a zone without the log', is_log_unreachable=True),
    Fault('a zone cut off, healed after 10 s', is_zone_partitioned=True),
)
METHODS = ('tail', 'exchange', 'tree', 'tree+exchange', 'tail+exchange')


@click.command()
def main() -> None:
    """Print the messages, bytes and seconds until the last VM, by case."""
    sizes = measure_sizes()
    click.echo(orjson.dumps({'sizes': sizes._asdict()}))
    for size in FLEET_SIZES:
        for fault in FAULTS:
            for method in METHODS:
                click.echo(
                    orjson.dumps(measure_case(size, fault, method, sizes))
                )


def measure_case(
    size: int, fault: Fault, method: str, sizes: Sizes
) -> dict[str, Any]:
    """Simulates one case with every seed and summarizes the results.

    Args:
        size: Number of entry VMs.
        fault: Fault that is present while the change spreads.
        method: One of ``METHODS``.
        sizes: Sizes of the messages, in bytes.

    Returns:
        Medians of the number of messages and bytes over all seeds.
        ``last_s`` is the longest time until the last VM received the change,
        in seconds; for a VM that receives it after the partition has healed,
        the time counts from the healing.  ``missed`` is the largest number of
        live VMs that did not receive the change.
    """
    fleets = [
        simulate(BroadcastFleet(size, fault, sizes, seed), fault, method)
        for seed in SEEDS
    ]
    alive = [set(fleet.keys) - fleet.dead for fleet in fleets]
    missed_counts = [
        len(keys - set(fleet.received_s_by_vm))
        for keys, fleet in zip(alive, fleets, strict=True)
    ]
    return {
        'vms': size,
        'fault': fault.name,
        'way': method,
        'messages': statistics.median(fleet.messages for fleet in fleets),
        'bytes': statistics.median(fleet.sent_bytes for fleet in fleets),
        'last_s': round(max(map(_last_delay_s, fleets)), 3),
        'missed': max(missed_counts),
    }


def simulate(
    fleet: BroadcastFleet, fault: Fault, method: str
) -> BroadcastFleet:
    """Simulates the spread of the change with one method.

    Args:
        fleet: Fleet in which no VM has received the change.
        fault: Fault that is present while the change spreads.
        method: One of ``METHODS``.

    Returns:
        The fleet, with its traffic and the times of receipt.
    """
    root = fleet.keys[0]
    tree = SpanningTree(fleet)
    if fault.is_inner_vm_dead:
        fleet.dead.add(tree.first_child(root))
    if 'exchange' in method:
        SimulatedExchange(fleet)
    if 'tree' in method:
        fleet.subscribe(lambda key: _start_tree_at_root(tree, key, root))
    readers = fleet.keys if 'tail' in method else [root]
    LogReaders(fleet, [key for key in readers if key not in fleet.dead])
    fleet.run()
    return fleet


def measure_sizes() -> Sizes:
    """Encodes a manifest of the planned size, and a change of one back end."""
    document = _build_document()
    proposal = proposal_record(0, document)
    state = fold_record(ConfigState(), 0, proposal).state
    approval = approval_record(0, proposal['digest'])
    state = fold_record(state, 1, approval).state
    name = next(iter(document['backends']))
    changed = {**document['backends'][name], 'leaving': True}
    backends = {**document['backends'], name: changed}
    patch = patch_record(state, {**document, 'backends': backends})
    records = [patch, approval_record(1, patch['digest'])]
    return Sizes(
        record=len(orjson.dumps(records)),
        state=len(zlib.compress(orjson.dumps(snapshot_record(state)))),
    )


def _build_document() -> dict[str, Any]:
    return {
        'schema': 1,
        'services': {'caster': {}},
        'backends': {
            f'runner-{number}': {
                'address': f'10.{number // 250}.0.{number % 250}:9400',
                'zone': f'zone-{number % 18:02d}',
                'slots': 8,
                'connections': 64,
                'services': ['caster'],
            }
            for number in range(BACKEND_COUNT)
        },
        'teams': {f'team-{number}': {} for number in range(TEAM_COUNT)},
    }


def _start_tree_at_root(tree: SpanningTree, key: VmKey, root: VmKey) -> None:
    if key == root:
        tree.start(root)


def _last_delay_s(fleet: BroadcastFleet) -> float:
    times = fleet.received_s_by_vm.values()
    return max(
        at_s - HEALED_AT_S if at_s >= HEALED_AT_S else at_s for at_s in times
    )


if __name__ == '__main__':
    main()
