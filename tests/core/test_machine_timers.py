"""Compares ``Timers`` with a model: a mapping of keys to due times."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from camphorlink.internal.core.process.timers import Timers


class TimersMachine(RuleBasedStateMachine):
    """Schedules and cancels callbacks and advances the clock."""

    @initialize()
    def start(self):
        self.timers = Timers()
        self.now = 0.0
        self.due_by_key = {}
        self.called = []

    @rule(delay_s=st.sampled_from((-1.0, 0.0, 0.5, 1.0, 7.0)))
    def subscribe(self, delay_s):
        due_s = self.now + delay_s
        key = self.timers.call_at(due_s, lambda _now: self.called.append(key))
        self.due_by_key[key] = due_s

    @rule(choice=st.integers(0, 99))
    def cancel(self, choice):
        if self.due_by_key:
            key = list(self.due_by_key)[choice % len(self.due_by_key)]
            self.timers.cancel(key)
            self.timers.cancel(key)
            self.due_by_key.pop(key)

    @rule(seconds=st.sampled_from((0.0, 0.4, 1.0, 60.0)))
    def advance(self, seconds):
        self.now += seconds
        due = [key for key, at in self.due_by_key.items() if at <= self.now]
        self.called.clear()
        self.timers.advance(self.now)
        assert self.called == sorted(due), (
            'each callback once, in order of due time'
        )
        for key in due:
            self.due_by_key.pop(key)

    @invariant()
    def next_due_is_the_earliest(self):
        if hasattr(self, 'timers'):
            earliest = min(self.due_by_key.values(), default=None)
            assert self.timers.next_due_s() == earliest


TimersMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)
TestTimers = TimersMachine.TestCase
