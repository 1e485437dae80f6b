"""What an earlier owner of a cell may have left running.

The log names the lifetimes that it gave orders to.  Its unfinished tasks may
start only when each of these has listed its runs to the new owner, which
shuts the old one out there, or when nothing ordered before can still run.
"""

from collections.abc import Mapping

from camphorlink.internal.core.connection.backend_runs import (
    LATE_COMMAND_S,
    LEASE_S,
)
from camphorlink.internal.core.process.job_table import LiveJob
from camphorlink.internal.core.request.durable_job import TaskKey

#: Longest time that an owner goes on after the store last confirmed it, in
#: seconds: bridges the store's outages of up to 9 s.
CONFIRMED_FOR_S = 10.0
#: After this long no order of an earlier owner is carried out, and no lease
#: that it renewed still lasts, in seconds.
ORDERS_OVER_S = CONFIRMED_FOR_S + LATE_COMMAND_S + LEASE_S + 1.0
#: Time in which each back end lists its runs again, in seconds: the wait of a
#: hold, its time-out, and a margin.
RELIST_S = 0.6
#: Time from the takeover in which a new task waits for back ends that have not
#: answered, in seconds: its caller may have sent it before.  A run that the
#: earlier owner renews no more lapses within a lease, on a clock that may be
#: 2% slow; longer, one silent back end would hold up its whole zone.
UNSEEN_RUNS_S = LEASE_S * 1.02 + 0.18


def is_confirmed(confirmed_s: float, now: float) -> bool:
    """Tells whether the store confirmed an owner lately enough to go on."""
    return now - confirmed_s < CONFIRMED_FOR_S


class Predecessor:
    """Lifetimes that an earlier owner commanded and that were not heard yet.

    Attributes:
        unheard_by_id: Start of each lifetime, in ms, by back end.
    """

    def __init__(self, commanded: Mapping[str, int], now: float) -> None:
        """Takes what the log says that the earlier owner commanded."""
        self.unheard_by_id = dict(commanded)
        self._until_s = now + ORDERS_OVER_S
        self._unseen_until_s = now + UNSEEN_RUNS_S
        self._unreachable: set[str] = set()

    def note_heard(self, backend_id: str, started_ms: int) -> None:
        """Notes that a lifetime, or a later one, has listed its runs."""
        if self.unheard_by_id.get(backend_id, started_ms) <= started_ms:
            self.unheard_by_id.pop(backend_id, None)

    def note_gone(self, backend_id: str) -> None:
        """Notes that a lifetime is over for certain."""
        self.unheard_by_id.pop(backend_id, None)

    def note_unreachable(self, backend_id: str) -> None:
        """Notes that a back end takes no connection: most likely it is gone.

        Of its runs nothing is known; but new tasks don't wait for it, since a
        crash and a takeover often come together.
        """
        self._unreachable.add(backend_id)

    def is_over(self, now: float) -> bool:
        """Tells whether nothing unseen of the earlier owner can run."""
        return not self.unheard_by_id or now > self._until_s

    def may_run_unseen(self, now: float) -> bool:
        """Tells whether a silent back end may run what comes as new.

        Answers a caller that sends its job again, to another VM, in the first
        moments of a term: the run of its first attempt may go on where no
        answer has come from.
        """
        silent = self.unheard_by_id.keys() - self._unreachable
        return bool(silent) and now < self._unseen_until_s


class OldTasks:
    """Tasks that an earlier owner may have started, until that is known.

    Those that came as new wait for back ends that are silent, for a lease;
    the others for every lifetime that the log names.
    """

    def __init__(self, predecessor: Predecessor, now: float) -> None:
        """Starts with none."""
        self._predecessor = predecessor
        self._due_s = now
        self._tasks: list[tuple[LiveJob, TaskKey]] = []
        self._new_tasks: list[tuple[LiveJob, TaskKey]] = []

    def add(self, live: LiveJob, task: TaskKey) -> None:
        """Adds a task that was known before, or whose found run is over."""
        self._tasks.append((live, task))

    def keeps(
        self,
        live: LiveJob,
        task: TaskKey,
        now: float,
        may_have_run: bool,
    ) -> bool:
        """Keeps a task whose coordinator sent it only now, if it must wait.

        Back ends may have listed the run of one that an earlier owner had
        when nobody knew it: each lists its runs once more before the task is
        released.  One that came as new waits for silent back ends, for a
        while.

        Args:
            live: The job.
            task: The task.
            now: Time in seconds.
            may_have_run: Whether an earlier owner may have begun it.

        Returns:
            Whether it is kept; else it may start at once.
        """
        if may_have_run:
            self._due_s = now + RELIST_S
            self._tasks.append((live, task))
            return True
        if self._predecessor.may_run_unseen(now):
            self._new_tasks.append((live, task))
            return True
        return False

    def take_due(self, now: float) -> list[tuple[LiveJob, TaskKey]]:
        """Returns the tasks whose runs would be known by now, once."""
        due: list[tuple[LiveJob, TaskKey]] = []
        if self._new_tasks and not self._predecessor.may_run_unseen(now):
            due += self._new_tasks
            self._new_tasks = []
        is_due = now >= self._due_s and self._predecessor.is_over(now)
        if self._tasks and is_due:
            due += self._tasks
            self._tasks = []
        return due
