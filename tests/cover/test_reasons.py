"""Checks that each reason has a status, a next step and documentation."""

import re
from pathlib import Path

from camphorlink.internal.core.request import reasons
from camphorlink.internal.core.request.job import Outcome
from camphorlink.internal.core.request.reasons import Reason, next_step
from camphorlink.internal.shell.request.responses import status_of

PAGE = Path(__file__).parents[2] / 'docs' / 'INTERFACE.md'
ROW = re.compile(
    r'^\| `([a-z-]+)` \| (\d{3}) \| (\d{3}) \| (.+) \|$', re.MULTILINE
)


def test_every_reason_has_a_next_step_of_its_own():
    assert set(reasons._NEXT_STEP_BY_REASON) == set(Reason)


def test_the_page_lists_exactly_the_reasons_with_status_and_next_step():
    documented = {row[0]: row[1:] for row in ROW.findall(PAGE.read_text())}
    assert documented == {
        reason.value: (
            str(status_of(Outcome.NOT_RUN, reason).value),
            str(status_of(Outcome.UNKNOWN, reason).value),
            next_step(reason),
        )
        for reason in Reason
    }


def test_retryable_statuses_are_used_only_for_not_run():
    for reason in Reason:
        for outcome in (Outcome.FAILED, Outcome.UNKNOWN):
            assert status_of(outcome, reason).value not in {429, 503}
