"""The waiting queue of one service: class targets decide the order, accounts share fairly.

Each account has its own queue, ordered by the latest moment at which a grant still meets the
class's waiting target, then by class priority. Between accounts, start-time fair queueing on the
account shares limits how far one may run ahead; within that window the entry with the least slack
is next.
"""

from bisect import bisect_left, insort
from dataclasses import dataclass

from sassafrashook.messages import PermitRequested

FAIRNESS_WINDOW = 2.0  # grants that an account with the mean share may run ahead
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 60.0
RETRY_SPREAD = 0.25
HOLDING_WEIGHT = 1 / 32
HOLDING_PRIOR_DIVISOR = 4


@dataclass(slots=True, eq=False)
class QueueEntry:
    """One request that waits for a permit.

    :param session: the :class:`Session` of its router.
    :param service: the :class:`ServiceState` that it waits for.
    :param arrived: seconds when the request reached the owner.
    :param deadline: seconds; a grant after this misses the waiting target.
    :param priority: class priority; smaller is first among equal deadlines.
    :param sequence: order of arrival.
    :param share: weight of its account.
    :param completion_s: completion target of its class.
    """

    session: object
    service: object
    query: PermitRequested
    arrived: float
    deadline: float
    priority: int
    sequence: int
    share: float
    completion_s: float

    def key(self):
        """Return what the entries of an account are ordered by."""
        return (self.deadline, self.priority, self.sequence)


class AccountQueue:
    """The entries of one account.

    :param share: weight of the account.
    :param start: virtual time at which its next entry starts.
    """

    __slots__ = ("share", "start", "keys_", "entries_", "return_at_")

    def __init__(self, share, start):
        self.share = share
        self.start = start
        self.keys_ = []
        self.entries_ = {}
        self.return_at_ = 0.0

    def add(self, entry):
        """Insert an entry in order."""
        insort(self.keys_, entry.key())
        self.entries_[entry.sequence] = entry

    def remove(self, entry):
        """Remove an entry."""
        del self.keys_[bisect_left(self.keys_, entry.key())]
        del self.entries_[entry.sequence]

    def head(self):
        """Return the entry with the least slack."""
        return self.entries_[self.keys_[0][2]]


class AdmissionQueue:
    """Requests of one service that wait for a permit.

    Attributes
    ----------
    accounts_ : the account queues, idle ones included while they are ahead of the others.
    holding_s_ : moving average of how long a permit is held, 0 while unknown.
    """

    def __init__(self):
        self.accounts_ = {}
        self.virtual_time_ = 0.0
        self.length_ = 0
        self.holding_s_ = 0.0

    def __len__(self):
        return self.length_

    def push(self, entry):
        """Add an entry."""
        self._account(entry).add(entry)
        self.length_ += 1

    def remove(self, entry):
        """Remove an entry that is in the queue."""
        self.accounts_[entry.query.account].remove(entry)
        self.length_ -= 1

    def pop(self, blocked=frozenset()):
        """Remove and return the entry that is next, or ``None``.

        :param blocked: names of accounts that may have nothing more now.
        """
        backlogged = [
            account
            for name, account in self.accounts_.items()
            if account.keys_ and name not in blocked
        ]
        if not backlogged:
            return None
        self.virtual_time_ = min(account.start for account in backlogged)
        limit = self.virtual_time_ + FAIRNESS_WINDOW
        entitled = [account for account in backlogged if account.start <= limit]
        account = min(entitled, key=lambda candidate: candidate.keys_[0])
        entry = account.head()
        account.remove(entry)
        self.length_ -= 1
        return entry

    def charge(self, entry):
        """Count a grant to an entry's account."""
        account = self._account(entry)
        backlogged = [a.share for a in self.accounts_.values() if a.keys_ or a is account]
        account.start += sum(backlogged) / len(backlogged) / account.share

    def count_waiting(self, account):
        """Return how many entries of an account wait."""
        queue = self.accounts_.get(account)
        return len(queue.keys_) if queue else 0

    def note_holding(self, seconds):
        """Count how long a permit was held."""
        if not self.holding_s_:
            self.holding_s_ = seconds
        self.holding_s_ += (seconds - self.holding_s_) * HOLDING_WEIGHT

    def estimate_wait(self, entry, running):
        """Return how long an entry would wait behind its account's own at the fair rate.

        :param running: permits in use at the service's upstreams.
        :returns: seconds.
        """
        account = self._account(entry)
        ahead = bisect_left(account.keys_, entry.key())
        return (ahead + 1) * self._grant_interval(account, running, entry.completion_s)

    def schedule_return(self, entry, excess, running, now, rng):
        """Return when a refused caller should come back: one after another at the drain rate.

        :param excess: seconds by which the wait would miss its target.
        :param rng: source of the spread.
        :returns: seconds from now.
        """
        account = self._account(entry)
        interval = self._grant_interval(account, running, entry.completion_s)
        account.return_at_ = max(account.return_at_, now + excess) + interval
        wait = (account.return_at_ - now) * rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return min(max(wait, RETRY_AFTER_MIN_S * rng.uniform(1, 2)), RETRY_AFTER_MAX_S)

    def _grant_interval(self, account, running, completion_s):
        shares = sum(a.share for a in self.accounts_.values() if a.keys_ or a is account)
        holding = self.holding_s_ or completion_s / HOLDING_PRIOR_DIVISOR
        return holding / max(running, 1) * shares / account.share

    def _account(self, entry):
        name = entry.query.account
        account = self.accounts_.get(name)
        if account is None:
            self._forget_idle()
            account = self.accounts_[name] = AccountQueue(entry.share, self.virtual_time_)
        elif not account.keys_:
            account.start = max(account.start, self.virtual_time_)
        account.share = entry.share
        return account

    def _forget_idle(self):
        idle = [
            name
            for name, account in self.accounts_.items()
            if not account.keys_ and account.start <= self.virtual_time_
        ]
        for name in idle:
            del self.accounts_[name]
