"""Advances the replicated clock so that stored deadlines expire without other proposals."""

import gevent

from sassafrashook.controller._service import ControllerService
from sassafrashook.state import AdvanceClock
from sassafrashook.tasks import spawn_task
from sassafrashook.utils import Interval

__all__ = ["ClockService"]

COMMIT_TIMEOUT_MS = 2_000


class ClockService(ControllerService):
    """Proposes the wall-clock time while this controller leads and the state holds deadlines.

    :param proposer: a :class:`CommandProposer`.
    :param state: the local :class:`~sassafrashook.state.FleetStateMachine`.
    :param interval_ms: interval of the checks; the clock is advanced when it lags by at least this
        much, milliseconds.

    :raises ParameterError: from :meth:`start`.

    See also :class:`sassafrashook.state.FleetStateMachine`, whose clock this service advances.

    Example::

        >>> from sassafrashook.controller import ClockService
        >>> ClockService(proposer=None, state=None).interval_ms
        5000
    """

    _parameter_constraints = {"interval_ms": Interval(int, 100, 600_000)}

    def __init__(self, proposer, state, interval_ms=5_000):
        self.proposer = proposer
        self.state = state
        self.interval_ms = interval_ms

    def start(self):
        """Start the task that checks the clock."""
        self.validate_parameters()
        self._task = spawn_task(self._run)

    def stop(self):
        """Stop the task."""
        self._task.kill()

    def _run(self):
        while True:
            gevent.sleep(self.interval_ms / 1000)
            self.advance()

    def advance(self):
        """Propose the wall-clock time if the state's clock lags by ``interval_ms`` or more."""
        lag_ms = self.proposer.wall_clock_ms() - self.state.clock_ms_
        if lag_ms < self.interval_ms or not self.state.has_pending_deadlines:
            return
        deadline = self.proposer.clock() + COMMIT_TIMEOUT_MS / 1000
        self.proposer.propose(AdvanceClock(), deadline)
