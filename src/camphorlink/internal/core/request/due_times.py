"""Due times, by which waiting jobs are ordered.

A job is due a fixed multiple of its ideal run time after its arrival.  Short
jobs therefore overtake long ones, and long jobs do not starve because their
due time is fixed.  Each team has a virtual clock, as in fair queueing: when a
team submits more work than its share of the VM's capacity, its jobs get later
due times by its lead over the other teams, less an allowance for bursts.
"""

from camphorlink.internal.core.request.job import Job
from camphorlink.internal.core.version.manifest import Team

#: A job is due after this multiple of its ideal run time.
DUE_TIME_FACTOR = 2.5
#: Lead in seconds of work that a team may have without a penalty.
BURST_ALLOWANCE_S = 10.0
#: The due time of a job with a long task is moved back by this multiple of
#: the backlog, so that short jobs keep overtaking it during the backlog.
LONG_JOB_PENALTY_FACTOR = 2.0
#: Backlog up to which long jobs get no penalty, in seconds of work.
LONG_JOB_PENALTY_MIN_BACKLOG_S = 2.0
#: Backlog up to which no team gets a penalty, in seconds of work.
TEAM_PENALTY_MIN_BACKLOG_S = 5.0
#: Each step of priority moves the due time back by this time, in seconds.
PRIORITY_STEP_S = 1.0
MAX_TEAMS = 1024


class DueTimes:
    """Computes due times from the virtual clocks of teams at an entry VM."""

    def __init__(self) -> None:
        """Creates an object in which no team has a lead."""
        self._clock_by_team: dict[str, float] = {}

    def due_s(
        self,
        job: Job,
        team: Team,
        ideal_s: float,
        backlog_s: float,
        now: float,
        *,
        is_long: bool = False,
    ) -> float:
        """Returns the due time of a new job, in core seconds.

        Args:
            job: Job that the caller submitted.
            team: Team of the job.
            ideal_s: Run time of the job with all slots free, in seconds.
            backlog_s: Work that waits at this VM, in seconds.
            now: Core time in seconds.
            is_long: Whether the job has a long task.
        """
        penalty_s = PRIORITY_STEP_S * team.priority
        if backlog_s > TEAM_PENALTY_MIN_BACKLOG_S:
            lead_s = self._lead_s(team.name, now)
            penalty_s += max(lead_s - BURST_ALLOWANCE_S, 0)
        if is_long and backlog_s > LONG_JOB_PENALTY_MIN_BACKLOG_S:
            penalty_s += LONG_JOB_PENALTY_FACTOR * backlog_s
        due_s = now + penalty_s + DUE_TIME_FACTOR * ideal_s
        return min(due_s, max(job.deadline_s - ideal_s, now + penalty_s))

    def _lead_s(self, team: str, now: float) -> float:
        """Returns a team's lead over the other team with the least lead."""
        clock_s = max(self._clock_by_team.get(team, now), now)
        others = [
            max(other_clock_s, now)
            for name, other_clock_s in self._clock_by_team.items()
            if name != team
        ]
        return clock_s - min(others, default=clock_s)

    def charge(
        self, team: str, work_s: float, speed: float, now: float
    ) -> None:
        """Advances a team's virtual clock by the work of a new job.

        Args:
            team: Name of the team.
            work_s: Work of the job, in seconds at speed 1.
            speed: Total speed of the slots that this VM owns.
            now: Core time in seconds.
        """
        teams_ahead = [
            name
            for name, clock_s in self._clock_by_team.items()
            if clock_s > now and name != team
        ]
        clock_s = max(self._clock_by_team.get(team, now), now)
        run_s = work_s * (len(teams_ahead) + 1) / max(speed, 1)
        self._clock_by_team[team] = clock_s + run_s
        if len(self._clock_by_team) > MAX_TEAMS:
            self._clock_by_team = {
                name: other_clock_s
                for name, other_clock_s in self._clock_by_team.items()
                if other_clock_s > now
            }
