"""Reason codes of refusals and failures, and the caller's next step for each.

Codes are part of the callers' interface and are labels of counters.  New codes
may be added, but existing ones are never renamed.
"""

import enum


class Reason(enum.Enum):
    """Reason why a submission or one attempt of a task failed."""

    BAD_REQUEST = 'bad-request'
    UNKNOWN_ROUTE = 'unknown-route'
    WRONG_METHOD = 'wrong-method'
    WRONG_CONTENT_TYPE = 'wrong-content-type'
    BODY_TOO_LARGE = 'body-too-large'
    BAD_JSON = 'bad-json'
    BAD_JOB = 'bad-job'
    BAD_IDENTIFIER = 'bad-identifier'
    NO_MANIFEST = 'no-manifest'
    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_TEAM = 'unknown-team'
    IDENTIFIER_EXPIRED = 'identifier-expired'
    ANSWER_GONE = 'answer-gone'
    OTHER_JOB = 'other-job'
    HOME_UNREACHABLE = 'home-unreachable'
    HOME_GONE = 'home-gone'
    RELAYS_FULL = 'relays-full'
    VM_STOPPED = 'vm-stopped'
    KEY_EXPIRED = 'key-expired'
    KEY_UNRESOLVED = 'key-unresolved'
    ANSWER_TOO_LARGE = 'answer-too-large'
    DRAINING = 'draining'
    TABLE_FULL = 'table-full'
    QUEUE_FULL = 'queue-full'
    DEADLINE_PASSED = 'deadline-passed'
    DEADLINE_UNREACHABLE = 'deadline-unreachable'
    NO_BACKEND = 'no-backend'
    CANCELLED = 'cancelled'
    JOB_KEEPS_FAILING = 'job-keeps-failing'
    TASK_FAILED = 'task-failed'
    TASK_LOST = 'task-lost'
    CONNECT_FAILED = 'connect-failed'
    BACKEND_BUSY = 'backend-busy'
    BACKEND_LEAVING = 'backend-leaving'
    CONNECTION_LOST = 'connection-lost'
    TASK_TIMEOUT = 'task-timeout'
    UNKNOWN_SUBMISSION = 'unknown-submission'
    INTERNAL_ERROR = 'internal-error'


_NEXT_STEP_BY_REASON = {
    Reason.BAD_REQUEST: 'correct the request as docs/INTERFACE.md says',
    Reason.UNKNOWN_ROUTE: 'use a route of docs/INTERFACE.md',
    Reason.WRONG_METHOD: 'use a method that the Allow header names',
    Reason.WRONG_CONTENT_TYPE: 'send the job as application/json',
    Reason.BODY_TOO_LARGE: 'send a smaller job, or several',
    Reason.BAD_JSON: 'send the job as JSON in UTF-8',
    Reason.BAD_JOB: 'correct the job as the faults say, then submit it',
    Reason.BAD_IDENTIFIER: 'ask for an identifier: POST /v1/submission-ids',
    Reason.NO_MANIFEST: 'submit again later: this VM has no manifest yet',
    Reason.UNKNOWN_SERVICE: 'name a service of the manifest in force',
    Reason.UNKNOWN_TEAM: 'name a team of the manifest in force',
    Reason.IDENTIFIER_EXPIRED: 'find out by other means whether the job ran',
    Reason.ANSWER_GONE: 'the job has ended; its answer is no longer held',
    Reason.OTHER_JOB: 'use a new identifier for another job',
    Reason.HOME_UNREACHABLE: 'ask again later under the same identifier',
    Reason.HOME_GONE: 'the VM that held the job is gone; check what it did',
    Reason.RELAYS_FULL: 'ask again after the given delay, same identifier',
    Reason.VM_STOPPED: 'look at the fate of each task; ask again for unknown',
    Reason.KEY_EXPIRED: 'find out by other means whether the job ran',
    Reason.ANSWER_TOO_LARGE: 'ask the VM that the identifier names',
    Reason.KEY_UNRESOLVED: 'submit it again under the same key',
    Reason.DRAINING: 'submit it to another entry VM, which mints its own',
    Reason.TABLE_FULL: 'submit it again after the given delay',
    Reason.QUEUE_FULL: 'submit it again after the given delay',
    Reason.DEADLINE_PASSED: 'look at the fate of each task',
    Reason.DEADLINE_UNREACHABLE: 'allow more time, or submit it later',
    Reason.NO_BACKEND: 'submit it to another zone, or later',
    Reason.CANCELLED: 'nothing: it was cancelled on request',
    Reason.JOB_KEEPS_FAILING: 'mend the job: it failed again and again',
    Reason.TASK_FAILED: 'look at the failed task before you submit anew',
    Reason.TASK_LOST: 'find out by other means whether the task ran',
    Reason.CONNECT_FAILED: 'submit it again later: no try was started',
    Reason.BACKEND_BUSY: 'submit it again after the given delay',
    Reason.BACKEND_LEAVING: 'submit it again after the given delay',
    Reason.CONNECTION_LOST: 'find out by other means whether the task ran',
    Reason.TASK_TIMEOUT: 'find out by other means whether the task ran',
    Reason.UNKNOWN_SUBMISSION: 'ask the VM that the identifier names',
    Reason.INTERNAL_ERROR: 'ask again under the same identifier',
}


def next_step(reason: Reason) -> str:
    """Returns one line of advice for a caller that received ``reason``."""
    return _NEXT_STEP_BY_REASON.get(reason, 'look at the fate of each task')
