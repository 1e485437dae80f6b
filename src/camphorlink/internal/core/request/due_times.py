"""When a job is due: its rank among the jobs that wait.

A job is due a fixed multiple of its ideal time after its arrival, so short
jobs pass long ones and long ones, whose due time does not move, are not
starved.  A team that brings more work than its part of the VM's speed is
set back by what it is ahead, beyond an allowance for bursts.
"""

from camphorlink.internal.core.request.job import Job
from camphorlink.internal.core.version.manifest import Team

#: A job is due after this multiple of its ideal time.
DUE_TIME_FACTOR = 2.5
#: Seconds of work that a team may be ahead of its part without any loss.
BURST_ALLOWANCE_S = 10.0
#: Jobs with a long task are set back by this multiple of the work that
#: waits, so that short jobs go on passing them while the backlog lasts.
LONG_JOB_PENALTY_FACTOR = 2.0
#: With less work waiting than this, in seconds, long jobs are not set back.
LONG_JOB_PENALTY_MIN_BACKLOG_S = 2.0
#: With less work waiting than this, in seconds, no team is set back.
TEAM_PENALTY_MIN_BACKLOG_S = 5.0
#: A class of priority sets a job back by this time, in seconds.
PRIORITY_STEP_S = 1.0
MAX_TEAMS = 1024


class DueTimes:
    """Virtual clocks of the teams at one entry VM."""

    def __init__(self) -> None:
        """Starts with no team ahead."""
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
        """Returns when a job that has just arrived is due, in core seconds.

        Args:
            job: What the caller submitted.
            team: Its team.
            ideal_s: Time that it takes when it has all slots, in seconds.
            backlog_s: Seconds of work that wait at this VM.
            now: Core time in seconds.
            is_long: Whether some task of it is long.
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
        """Returns how far a team is ahead of whoever else is least ahead."""
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
        """Moves a team's clock on by the work that it brings.

        Args:
            team: Name of the team.
            work_s: Work of a job, in seconds at speed 1.
            speed: Speed of all slots that are this VM's.
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
