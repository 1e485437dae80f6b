"""What a VM answers that is about to stop."""

import asyncio
from types import SimpleNamespace

from camphorlink.internal.core.process.job_table import JobTable
from camphorlink.internal.shell.request.job_desk import JobDesk, Verdict
from simulated_backends import make_job


def make_desk(refused):
    node = SimpleNamespace(
        is_closed=True,
        table=JobTable(),
        count_refusal=refused.append,
    )
    return JobDesk(node)


def test_a_vm_that_stops_refuses_both_kinds_of_job_as_not_run():
    refused = []
    desk = make_desk(refused)
    for submit in (desk.submit, desk.run):
        answer = asyncio.run(submit(make_job(), 1.0))
        assert answer.verdict is Verdict.REFUSED
        assert answer.retry_after_s >= 1
    assert refused == ['vm-leaving'] * 2
