"""Per-service state of the owner: queues, running counts and averages."""

import math

from sassafrashook.routing._admission_queue import AdmissionQueue

FIRST_TOKEN_WEIGHT = 1 / 16
RESERVED_DIVISOR = 4


class ServiceState:
    """Queues, reservations and running counts of one service.

    :param name: name of the service.

    :ivar queue_: requests that wait for a permit.
    :ivar suspect_queue_: entries of suspect requests that wait for an isolated run, earliest
        deadline first.
    :ivar reserved_: upstreams reserved for suspects, with the expiry time of each reservation in
        seconds.
    :ivar running_: number of permits in use.
    :ivar running_by_account_: number of permits in use, by client account.
    :ivar mean_first_token_s_: moving average of the time to the first token, in seconds.
    """

    __slots__ = (
        "name",
        "queue_",
        "suspect_queue_",
        "reserved_",
        "running_",
        "running_by_account_",
        "mean_first_token_s_",
    )

    def __init__(self, name):
        self.name = name
        self.queue_ = AdmissionQueue()
        self.suspect_queue_ = []
        self.reserved_ = {}
        self.running_ = 0
        self.running_by_account_ = {}
        self.mean_first_token_s_ = 0.0

    def record_start(self, record):
        """Count a granted permit."""
        self.running_ += 1
        self.running_by_account_[record.account] = (
            self.running_by_account_.get(record.account, 0) + 1
        )

    def record_end(self, record):
        """Stop counting a permit that has ended."""
        self.running_ -= 1
        self.running_by_account_[record.account] -= 1
        if not self.running_by_account_[record.account]:
            del self.running_by_account_[record.account]

    def record_finished(self, held_s, first_token_ms):
        """Update the averages with a finished response.

        :param held_s: how long its permit was held, in seconds.
        :param first_token_ms: milliseconds from the first byte sent to the first event received, or
            -1 if there is none.
        """
        self.queue_.record_hold_time(held_s)
        if first_token_ms >= 0:
            step = first_token_ms / 1000 - self.mean_first_token_s_
            self.mean_first_token_s_ += step * FIRST_TOKEN_WEIGHT

    def compute_grant_deadline(self, now, waiting_s):
        """Return the time by which a request must be granted for its first token to be in time.

        :param now: current time in seconds.
        :param waiting_s: waiting target of the request in seconds, up to its first token.
        """
        return now + waiting_s - min(self.mean_first_token_s_, waiting_s / 2)

    @staticmethod
    def max_reserved(group):
        """Return how many upstreams of a group may be reserved at the same time."""
        return max(1, len(group.points_) // RESERVED_DIVISOR)

    def has_reached_limit(self, account, group, ledger, is_shared):
        """Return whether an account has reached its maximum number of permits of the service.

        :param group: the :class:`PlacementGroup` whose limit counts: that of the requested service
            and model for a new request, that of the whole service for waiting ones.
        :param ledger: the :class:`PermitLedger`; its ``max_account_fraction`` is the largest
            fraction of the group's limit that one account may use. The rest is left to other
            accounts.
        :param is_shared: whether several accounts are configured.
        """
        running = self.running_by_account_.get(account, 0)
        if (
            not is_shared
            and running == self.running_
            and not self.queue_.has_other_accounts(account)
        ):
            return False
        return running >= max(1, math.ceil(group.limit_ * ledger.max_account_fraction))
