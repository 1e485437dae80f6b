"""Job requests to a stopping VM are refused and never run."""

import asyncio
from types import SimpleNamespace

from camphorlink.internal.core.process.job_table import JobTable
from camphorlink.internal.shell.request.job_handler import JobHandler, Verdict
from simulated_backends import make_job


def make_handler(refused):
    node = SimpleNamespace(
        is_closed=True,
        table=JobTable(),
        count_refusal=refused.append,
    )
    return JobHandler(node)


def test_a_stopping_vm_refuses_durable_and_transient_jobs():
    refused = []
    handler = make_handler(refused)
    for submit in (handler.submit, handler.run):
        answer = asyncio.run(submit(make_job(), 1.0))
        assert answer.verdict is Verdict.REFUSED
        assert answer.retry_after_s >= 1
    assert refused == ['vm-leaving'] * 2
