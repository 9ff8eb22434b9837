"""Confirms on a controller that its configuration is the newest one."""

import time

import gevent
from returns.result import Failure

from sassafrashook.telemetry import log_event

CONFIRM_INTERVAL_S = 0.3  # between two reads
READ_TIMEOUT_S = 0.85
# A controller without a confirmed read for this time logs that routers may reject requests for now.
CONFIRMATION_LOST_S = 1.5


class ConfigurationConfirmer:
    """Makes linearizable reads, each of which shows that no newer configuration was acknowledged.

    :param replica: a :class:`~sassafrashook.consensus.Replica`.
    :param state: the :class:`~sassafrashook.fleet.FleetState` of the replica.

    :ivar confirmed_at_: when the last successful read began, in monotonic seconds.
    """

    def __init__(self, replica, state):
        self.replica = replica
        self.state = state
        self.confirmed_at_ = float("-inf")
        self._is_confirmed = False

    def run(self):
        """Make a read at intervals, forever."""
        while True:
            self.confirm()
            gevent.sleep(CONFIRM_INTERVAL_S)

    def confirm(self):
        """Make a read.

        All versions that were acknowledged before it began are applied once it returns.
        """
        began_at = time.monotonic()
        if not isinstance(self.replica.confirm_read(began_at + READ_TIMEOUT_S), Failure):
            self.confirmed_at_ = began_at
        is_confirmed = time.monotonic() < self.confirmed_at_ + CONFIRMATION_LOST_S
        if is_confirmed != self._is_confirmed:
            self._is_confirmed = is_confirmed
            event = "configuration_confirmed" if is_confirmed else "configuration_unconfirmed"
            log_event(event, version=self.state.version_, leader=self.replica.get_leader())
