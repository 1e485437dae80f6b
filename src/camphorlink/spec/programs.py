"""Command line program that checks all specifications."""

import sys
from pathlib import Path

import click

from camphorlink.spec import (
    cells_properties,
    claims_properties,
    configuration_properties,
    handover_properties,
    homes_properties,
    jobs_properties,
    leases_properties,
)
from camphorlink.spec.checking import (
    Report,
    Specification,
    list_faults,
    search,
)

SPECIFICATIONS: tuple[Specification, ...] = (
    homes_properties.SPECIFICATION,
    jobs_properties.SPECIFICATION,
    cells_properties.SPECIFICATION,
    leases_properties.SPECIFICATION,
    handover_properties.SPECIFICATION,
    claims_properties.SPECIFICATION,
    configuration_properties.RACE,
    configuration_properties.EXPIRY,
)
GENERATED_MARK = '<!-- Below: written by `make counterexamples`. -->\n'
_WORD_BY_VERDICT = {True: 'holds', False: 'VIOLATED', None: 'UNDECIDED'}


@click.group()
def main() -> None:
    """Check the specifications of camphorlink's protocols."""


@main.command()
@click.option('--large', is_flag=True, help='Search the larger state spaces.')
def check(large: bool) -> None:
    """Search all protocols and their mutations.

    Exits with status 1 if a check fails.
    """
    verdicts = [
        _check_specification(spec, large=large) for spec in SPECIFICATIONS
    ]
    sys.exit(0 if all(verdicts) else 1)


@main.command()
@click.argument('page', type=click.Path(path_type=Path))
def write(page: Path) -> None:
    """Write the counterexamples of all mutations into PAGE."""
    head, mark, _old = page.read_text().partition(GENERATED_MARK)
    page.write_text(f'{head}{mark}{render_counterexamples()}')


def render_counterexamples() -> str:
    """Renders the shortest counterexample for each mutation as Markdown."""
    return '\n'.join(_render_mutations(spec) for spec in SPECIFICATIONS)


def _check_specification(spec: Specification, *, large: bool) -> bool:
    initial = spec.large_initial if large else spec.initial
    report = search(spec, initial=initial)
    _print_report(spec, report)
    faults = list_faults(spec, report)
    if not large:
        faults.extend(_list_missed_mutations(spec))
    for fault in faults:
        click.echo(f'  FAULT {fault}')
    return not faults


def _print_report(spec: Specification, report: Report) -> None:
    click.echo(
        f'{spec.name}: {report.states} states, depth {report.depth}, '
        f'{report.elapsed_s:.1f} s',
    )
    for name, verdict in report.verdict_by_invariant.items():
        click.echo(f'  {_WORD_BY_VERDICT[verdict]:9} {name}')
    for name in spec.witnesses:
        trace = report.trace_by_name.get(name)
        if trace is not None:
            click.echo(f'  reachable {name} ({len(trace.labels)} steps)')


def _list_missed_mutations(spec: Specification) -> list[str]:
    missed = []
    for mutation in spec.mutations:
        report = search(spec, mutation)
        if report.verdict_by_invariant[mutation.breaks] is False:
            click.echo(f'  caught    {mutation.name}')
        else:
            missed.append(f'mutation {mutation.name} is not caught')
    return missed


def _render_mutations(spec: Specification) -> str:
    report = search(spec)
    lines = [
        f'## {spec.name}',
        '',
        f'{report.states} states, depth {report.depth}; holds: '
        + ', '.join(f'`{name}`' for name in spec.invariants)
        + '.',
        '',
    ]
    for mutation in spec.mutations:
        trace = search(spec, mutation).trace_by_name[mutation.breaks]
        lines.append(f'### {mutation.name} breaks `{mutation.breaks}`')
        lines.append('')
        lines.extend(
            f'{number}. {label}' for number, label in enumerate(trace.labels, 1)
        )
        lines.append('')
    return '\n'.join(lines)


if __name__ == '__main__':
    main()
