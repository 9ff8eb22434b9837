"""Per-service state of the owner: queues, running counts and averages."""

import math

from sassafrashook.routing._admission import AdmissionQueue

FIRST_TOKEN_WEIGHT = 1 / 16
ISOLATION_FRACTION = 4


class ServiceState:
    """What the owner counts for one service.

    :param name: the service's name.

    Attributes
    ----------
    queue_ : requests that wait for a permit.
    suspects_ : requests that wait to run alone, earliest first.
    reserved_ : upstreams kept free for them, with the time until which they are kept.
    running_ : permits in use.
    accounts_ : permits in use, by account.
    first_token_s_ : moving average of first-token times.
    """

    __slots__ = (
        "name",
        "queue_",
        "suspects_",
        "reserved_",
        "running_",
        "accounts_",
        "first_token_s_",
    )

    def __init__(self, name):
        self.name = name
        self.queue_ = AdmissionQueue()
        self.suspects_ = []
        self.reserved_ = {}
        self.running_ = 0
        self.accounts_ = {}
        self.first_token_s_ = 0.0

    def note_started(self, record):
        """Count a permit."""
        self.running_ += 1
        self.accounts_[record.account] = self.accounts_.get(record.account, 0) + 1

    def note_ended(self, record):
        """Stop counting a permit."""
        self.running_ -= 1
        self.accounts_[record.account] -= 1
        if not self.accounts_[record.account]:
            del self.accounts_[record.account]

    def note_finished(self, held_s, first_token_ms):
        """Count a whole answer.

        :param held_s: how long its permit was held, seconds.
        :param first_token_ms: time to its first token, or -1.
        """
        self.queue_.note_holding(held_s)
        if first_token_ms >= 0:
            step = first_token_ms / 1000 - self.first_token_s_
            self.first_token_s_ += step * FIRST_TOKEN_WEIGHT

    def queue_deadline(self, now, waiting_s):
        """Return the latest useful moment of a grant: the first token must follow in time."""
        return now + waiting_s - min(self.first_token_s_, waiting_s / 2)

    @staticmethod
    def isolation_limit(group):
        """Return how many of a group may be kept free at once."""
        return max(1, len(group.points_) // ISOLATION_FRACTION)

    def is_at_ceiling(self, account, group, rules, is_shared):
        """Return whether an account holds all that one account may hold of a group.

        :param rules: the :class:`PermitLedger`; its ``account_ceiling`` is the part of the group's
            limit, the rest is kept for other accounts.
        :param is_shared: whether several accounts are configured.
        """
        running = self.accounts_.get(account, 0)
        if not is_shared and running == self.running_ and not self.queue_.has_others(account):
            return False
        return running >= max(1, math.ceil(group.limit_ * rules.account_ceiling))
