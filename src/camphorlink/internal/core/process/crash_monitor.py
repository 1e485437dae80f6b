"""Notices crashes of a cell's back ends, and assesses the tasks on them.

A crash is certain when another incarnation is known.  A back end that refuses
connections has most likely crashed; if it answers again after all, the crash is
retracted.  Until one of the two is known, a task that such a crash would give up
is withheld.  A back end that is only silent may be cut off: its tasks run alone
until it is known what became of it.
"""

from collections.abc import Iterable, Mapping

from camphorlink.internal.core.connection.backend_commands import (
    ListedBackend,
    ReportedClock,
)
from camphorlink.internal.core.connection.backend_runs import (
    BackendRuns,
    Run,
    RunState,
)
from camphorlink.internal.core.process.cell_effects import (
    AppendRecord,
    CellEffect,
    LogEvent,
)
from camphorlink.internal.core.process.crash_table import CrashTable
from camphorlink.internal.core.process.run_registry import RunRegistry
from camphorlink.internal.core.request.crash_assessment import (
    MIN_CRASHES,
    Assessment,
    Crash,
    CrashKind,
    assess,
)
from camphorlink.internal.core.request.durable_job import TaskKey
from camphorlink.internal.core.request.job_records import (
    BackendCrashed,
    BackendSurvived,
    Incarnation,
)

#: Longest time between the first unanswered calls to back ends that failed at
#: once, in seconds: a call may wait for a completion for 0.3 s.
COMMON_FAILURE_S = 0.5
#: Back ends that must fail at once for a common cause.
MIN_COMMON_FAILURES = 3
#: Longest silence before the first refused connection, in seconds, in which a
#: run has hardly ended unnoticed: after a reset connection, the next call is sent
#: within 0.1 s.
MAX_SILENCE_S = 0.25
#: Time in ms after the first refused connection from which on a report of a back
#: end shows that it has run on: the answer from which its clock is known may have
#: been under way for some time.
REPORT_MARGIN_MS = 500
#: Time in seconds for which a task is withheld after the second crash under it, if
#: one is not certain: a crashed back end has mostly started again by then.  It
#: doubles with each further crash, as ever fewer are likely to be retracted.
VERDICT_WAIT_S = 6.0


def have_common_cause(
    failed: BackendRuns, others: Iterable[BackendRuns]
) -> bool:
    """Returns whether a back end failed at once with its whole rack or cell.

    Back ends that were away before tell nothing.

    Args:
        failed: A back end that does not answer.
        others: All back ends of its cell.
    """
    listed = [runs for runs in others if runs.is_listed]
    # The first label is the kind of a back end; the others say where it is.
    groups = [listed] + [
        [runs for runs in listed if label in runs.listed.labels]
        for label in failed.listed.labels[1:]
    ]
    return any(_failed_at_once(failed, group) for group in groups)


def _failed_at_once(failed: BackendRuns, group: list[BackendRuns]) -> bool:
    if failed.silent_since_s is None:
        return False
    silent_s = [runs.silent_since_s for runs in group]
    if any(since_s is None for since_s in silent_s):
        return False
    failures = [
        since_s
        for since_s in silent_s
        if since_s is not None
        and abs(since_s - failed.silent_since_s) <= COMMON_FAILURE_S
    ]
    return len(failures) >= MIN_COMMON_FAILURES


class CrashMonitor:
    """Records the crashes of one cell's back ends during one term."""

    def __init__(
        self,
        stored: CrashTable,
        registry: RunRegistry,
        effects: list[CellEffect],
    ) -> None:
        """Creates a monitor that has observed nothing.

        Args:
            stored: Crashes that the job log holds.
            registry: Runs of the term.
            effects: List that effects are appended to.
        """
        self._stored = stored
        self._effects = effects
        self._registry = registry
        self._observed = CrashTable()
        self._recorded: set[Incarnation] = set()
        self._retracted: set[Incarnation] = set()
        self._doubtful: dict[Incarnation, BackendCrashed] = {}
        self._doubted_tasks: set[TaskKey] = set()
        self._uncertain_since_s: dict[Incarnation, float] = {}
        #: Incarnations that refuse connections and are known to run on.
        self._cut_off: set[Incarnation] = set()

    def assess(self, task: TaskKey) -> Assessment:
        """Assesses a task by stored crashes and by those observed here.

        A retraction counts before it is stored, as a crash does.
        """
        assessment = assess(self._crashes_of(task).values())
        if task in self._doubted_tasks:
            return max(assessment, Assessment.DOUBTED)
        return assessment

    def must_withhold(self, task: TaskKey, now: float) -> bool:
        """Returns whether a task waits until the crashes under it are certain.

        The wait is limited, as a back end may be lost for good.
        """
        crashes = self._crashes_of(task)
        if assess(crashes.values()) is not Assessment.WITHHELD:
            return False
        since_s = [
            self._uncertain_since_s.setdefault(incarnation, now)
            for incarnation, crash in crashes.items()
            if not crash.is_certain
        ]
        wait_s = VERDICT_WAIT_S * 2 ** (len(crashes) - MIN_CRASHES)
        return now - max(since_s) < wait_s

    def _crashes_of(self, task: TaskKey) -> dict[Incarnation, Crash]:
        crashes = self._stored.crashes_of(task) | self._observed.crashes_of(
            task
        )
        return {
            incarnation: crash._replace(
                is_certain=crash.is_certain
                or self._stored.is_certain(incarnation)
            )
            for incarnation, crash in crashes.items()
            if incarnation not in self._retracted
        }

    def record_silence(self, runs: BackendRuns, now: float) -> None:
        """Handles a back end that refuses connections, or whose lease lapsed.

        Its runs may go on until their lease lapses, so that the crash is not
        certain.
        """
        incarnation = _incarnation_of(runs)
        if incarnation in self._recorded or incarnation in self._doubtful:
            return
        if incarnation in self._cut_off or runs.listed.is_draining:
            return
        if not _find_present(runs):
            return
        crash = self._describe(runs, now)
        if runs.outage(now).refused_s >= 0:
            self._uncertain_since_s[incarnation] = now
            self._record(crash)
        elif crash.kind is not CrashKind.COMMON:
            self._doubtful[incarnation] = crash
            self._update_doubted()

    def record_end(self, runs: BackendRuns, now: float) -> None:
        """Handles an incarnation that has ended; a drained one did not crash."""
        incarnation = _incarnation_of(runs)
        crash = self._doubtful.pop(incarnation, None)
        self._update_doubted()
        if runs.listed.is_draining:
            return
        if self._is_recorded(incarnation):
            self._make_certain(incarnation)
            return
        if crash is None and _find_present(runs):
            crash = self._describe(runs, now)
        if crash is not None:
            self._record(crash._replace(is_certain=True))

    def record_listing(self, listed_by_id: Mapping[str, ListedBackend]) -> None:
        """Handles later incarnations of back ends that may have crashed."""
        for crash in (*self._stored.uncertain(), *self._observed.uncertain()):
            listed = listed_by_id.get(crash.backend_id)
            if listed is not None and listed.started_ms > crash.started_ms:
                self._make_certain(crash.incarnation)

    def record_answer(self, runs: BackendRuns) -> None:
        """Handles a back end that answers again: it did not crash.

        An earlier owner of the cell may have recorded the crash.
        """
        incarnation = _incarnation_of(runs)
        if self._doubtful.pop(incarnation, None) is not None:
            self._update_doubted()
        self._cut_off.discard(incarnation)
        is_certain = self._stored.is_certain(incarnation)
        if self._is_recorded(incarnation) and not is_certain:
            self._retract(incarnation)

    def record_clocks(
        self, clock_by_id: Mapping[str, ReportedClock], now: float
    ) -> None:
        """Handles the clocks that back ends have published.

        One that is cut off may still publish it.  A later crash of it tells
        nothing of the runs that were there when it was cut off.
        """
        for crash in self._observed.uncertain():
            incarnation = crash.incarnation
            runs = self._registry.runs_by_backend.get(crash.backend_id)
            clock = clock_by_id.get(crash.backend_id)
            if runs is None or clock is None:
                continue
            is_same = clock.started_ms == crash.started_ms
            if is_same and _has_run_on(runs, incarnation, clock.read_ms, now):
                self._cut_off.add(incarnation)
                self._retract(incarnation)

    def _retract(self, incarnation: Incarnation) -> None:
        self._recorded.discard(incarnation)
        self._uncertain_since_s.pop(incarnation, None)
        self._retracted.add(incarnation)
        survived = BackendSurvived(*incarnation)
        self._observed.retract(survived)
        self._effects.append(AppendRecord(survived))
        self._log(
            'Back end had not crashed; its crash is retracted.',
            incarnation,
            is_cut_off=incarnation in self._cut_off,
        )

    def report_unobserved(self, ended_ms_by_backend: Mapping[str, int]) -> None:
        """Logs and counts crashes whose runs were known to a lost owner only.

        They accuse no task: any task that this owner holds back may have waited
        all the time.

        Args:
            ended_ms_by_backend: Start time of each ended incarnation that the
                lost owner commanded, by back end.
        """
        for incarnation in map(Incarnation._make, ended_ms_by_backend.items()):
            if incarnation in self._recorded or self._stored.knows(incarnation):
                continue
            self._recorded.add(incarnation)
            self._registry.count('backend_crashes', 'unobserved')
            self._log('Back end crashed while its owner was lost.', incarnation)

    def _describe(self, runs: BackendRuns, now: float) -> BackendCrashed:
        by_start = sorted(
            _find_present(runs),
            key=lambda run: run.number,
            reverse=True,
        )
        tasks = [run.task for run in by_start if _is_confirmed(run)]
        unconfirmed = [run.task for run in by_start if not _is_confirmed(run)]
        kind = CrashKind.OBSERVED
        if have_common_cause(runs, self._registry.runs_by_backend.values()):
            kind = CrashKind.COMMON
        elif (
            runs.outage(now).silent_s > MAX_SILENCE_S
            or _incarnation_of(runs) in self._cut_off
        ):
            kind = CrashKind.SILENT
        return BackendCrashed(
            *_incarnation_of(runs),
            tuple(tasks),
            kind,
            tuple(unconfirmed),
        )

    def _is_recorded(self, incarnation: Incarnation) -> bool:
        """Returns whether this owner or an earlier one recorded a crash."""
        return incarnation in self._recorded or (
            self._stored.knows(incarnation)
            and incarnation not in self._retracted
        )

    def _make_certain(self, incarnation: Incarnation) -> None:
        """Records that a crash can't be retracted any more."""
        crash = self._observed.get(incarnation)
        if crash is None and incarnation not in self._retracted:
            crash = self._stored.get(incarnation)
        if crash is None or crash.is_certain:
            return
        self._uncertain_since_s.pop(incarnation, None)
        self._store(crash._replace(is_certain=True))
        self._registry.count('certain_crashes', crash.kind.value)
        self._log('Crash of a back end is certain.', incarnation)

    def _record(self, crash: BackendCrashed) -> None:
        self._retracted.discard(crash.incarnation)
        self._store(crash)
        self._registry.count('backend_crashes', crash.kind.value)
        self._log(
            'Back end crashed under tasks.',
            crash.incarnation,
            kind=crash.kind.value,
            is_certain=crash.is_certain,
            tasks=[list(task) for task in crash.tasks],
            unconfirmed=[list(task) for task in crash.unconfirmed],
        )

    def _store(self, crash: BackendCrashed) -> None:
        self._recorded.add(crash.incarnation)
        self._observed.record(crash)
        self._effects.append(AppendRecord(crash))

    def _log(
        self, event: str, incarnation: Incarnation, **facts: object
    ) -> None:
        facts = {'backend': incarnation.backend_id, **facts}
        self._effects.append(LogEvent(event, facts))

    def _update_doubted(self) -> None:
        self._doubted_tasks = {
            task
            for crash in self._doubtful.values()
            for task in crash.possible_tasks
        }


def _find_present(runs: BackendRuns) -> list[Run]:
    """Returns the runs of an incarnation, without those of the one before."""
    return [
        run
        for run in runs.run_by_task.values()
        if run.started_s >= runs.first_listed_s
    ]


def _has_run_on(
    runs: BackendRuns, incarnation: Incarnation, read_ms: int, now: float
) -> bool:
    """Returns whether a back end read its clock after it refused connections."""
    refused_s = runs.outage(now).refused_s
    if _incarnation_of(runs) != incarnation or refused_s < 0:
        return False
    if runs.clock is None:
        return False
    at_refusal_ms = runs.clock.estimate_ms(now - refused_s)
    return read_ms > at_refusal_ms + REPORT_MARGIN_MS


def _is_confirmed(run: Run) -> bool:
    """Returns whether a run was certainly there when it was last heard of.

    A start without an answer may not have arrived, and a run that is being
    stopped may have ended before the crash.
    """
    return run.state is RunState.RUNNING


def _incarnation_of(runs: BackendRuns) -> Incarnation:
    return Incarnation(runs.listed.backend_id, runs.listed.started_ms)
