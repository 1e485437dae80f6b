"""Learned run times of tasks, by service and task class.

Run times that callers declare are often inaccurate.  Each class therefore has
two predictors: the mean run time of the class, and the declared run time
corrected by the mean bias of the class.  The estimate comes from the predictor
with the smaller recent error.  All values are logarithms, so that an estimate
that is ten times too long has the same error as one ten times too short.
"""

import math
from typing import NamedTuple

from camphorlink.internal.core.request.job import TaskSpec
from camphorlink.internal.core.version.manifest import Manifest

MS_PER_S = 1000
#: Estimated run time at speed 1 without any information, in seconds.
INITIAL_WORK_S = 0.2
#: Minimum weight of the latest run time in the averages of a class; the
#: weight falls to it as the number of runs grows.
MIN_WEIGHT = 0.03
#: Initial squared error of a predictor, on the logarithmic scale.
INITIAL_ERROR = 1.0
MIN_WORK_S = 1e-4
MAX_CLASSES = 4096
#: Weight of the latest run in the mean run time of all tasks.
OVERALL_MEAN_WEIGHT = 0.003
#: A task is long if its run time is at least this multiple of the geometric
#: mean of all tasks.
LONG_TASK_FACTOR = 6.0
#: Number of runs of a class from which its estimate may refuse a job.
MIN_RUNS_FOR_REFUSAL = 20


class ClassKey(NamedTuple):
    """Identifies a class of tasks that share one run time estimate."""

    service: str
    task_class: str


class ClassTimes:
    """Run time predictors of one class, in logarithms of seconds."""

    def __init__(self) -> None:
        """Creates predictors without any recorded run."""
        self.runs = 0
        self._log_mean = math.log(INITIAL_WORK_S)
        self._log_bias = 0.0
        self._mean_error = INITIAL_ERROR
        # The declared run time is preferred until its error exceeds that of
        # the mean.
        self._declared_error = INITIAL_ERROR / 2

    def estimate(self, declared_s: float | None) -> float:
        """Returns the expected run time at speed 1, in seconds."""
        if declared_s is None or self._mean_error < self._declared_error:
            return math.exp(self._log_mean)
        return declared_s * math.exp(self._log_bias)

    def learn(self, declared_s: float | None, work_s: float) -> None:
        """Updates the estimates with a run time, scaled to speed 1."""
        self.runs += 1
        weight = max(1 / self.runs, MIN_WEIGHT)
        log_work = math.log(max(work_s, MIN_WORK_S))
        error = log_work - self._log_mean
        self._mean_error += weight * (error * error - self._mean_error)
        self._log_mean += weight * error
        if declared_s is not None:
            error = log_work - math.log(declared_s) - self._log_bias
            self._declared_error += weight * (
                error * error - self._declared_error
            )
            self._log_bias += weight * error


class RunTimes:
    """Run time estimates of all task classes observed by this process."""

    def __init__(self) -> None:
        """Creates estimates without any recorded run."""
        self._times_by_class: dict[ClassKey, ClassTimes] = {}
        self._typical_s_by_class: dict[ClassKey, float] = {}
        self._overall_log_mean = math.log(INITIAL_WORK_S)
        #: Minimum run time of a long task, in seconds at speed 1.
        self.long_work_s = math.inf

    def install(self, manifest: Manifest) -> None:
        """Replaces the typical run times by those of a manifest."""
        self._typical_s_by_class = {
            ClassKey(service.name, name): class_config.typical_ms / MS_PER_S
            for service in manifest.services_by_name.values()
            for name, class_config in service.classes_by_name.items()
        }

    def estimate(self, service: str, task: TaskSpec) -> float:
        """Returns a task's expected run time at speed 1, in seconds."""
        key = ClassKey(service, task.task_class)
        times = self._times_by_class.get(key)
        declared_s = _declared_s(task)
        if times is not None:
            return times.estimate(declared_s)
        if declared_s is not None:
            return declared_s
        return self._typical_s_by_class.get(key, INITIAL_WORK_S)

    def has_enough_runs(self, service: str, task: TaskSpec) -> bool:
        """Returns whether the class's estimate may be used to refuse a job."""
        times = self._times_by_class.get(ClassKey(service, task.task_class))
        return times is not None and times.runs >= MIN_RUNS_FOR_REFUSAL

    def learn(self, service: str, task: TaskSpec, work_s: float) -> None:
        """Updates the estimates with a run time, scaled to speed 1."""
        key = ClassKey(service, task.task_class)
        times = self._times_by_class.get(key)
        if times is None:
            if len(self._times_by_class) >= MAX_CLASSES:
                self._times_by_class.pop(next(iter(self._times_by_class)))
            times = ClassTimes()
            self._times_by_class[key] = times
        times.learn(_declared_s(task), work_s)
        step = math.log(max(work_s, MIN_WORK_S)) - self._overall_log_mean
        self._overall_log_mean += OVERALL_MEAN_WEIGHT * step
        self.long_work_s = LONG_TASK_FACTOR * math.exp(self._overall_log_mean)


def _declared_s(task: TaskSpec) -> float | None:
    if task.declared_ms is None or task.declared_ms <= 0:
        return None
    return task.declared_ms / MS_PER_S
