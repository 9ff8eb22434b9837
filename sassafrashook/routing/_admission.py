"""The waiting queue of one service: class targets decide the order, accounts share fairly.

Each account has its own queue, ordered by the latest moment at which a grant still meets the
class's waiting target, then by class priority. Between accounts, start-time fair queueing on the
account shares limits how far one may run ahead; within that window the entry with the least slack
is next.
"""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass

from sassafrashook.messages import PermitRequested

FAIRNESS_WINDOW = 2.0  # grants that an account with the mean share may run ahead
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 60.0
RETRY_SPREAD = 0.25
HOLDING_WEIGHT = 1 / 32
HOLDING_PRIOR_DIVISOR = 4
ACCOUNTS_MIN = 64
HEAPS_MIN = 1_024
OUTDATED_FACTOR = 8


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

    :param name: of the account.
    :param share: weight of the account.
    :param start: virtual time at which its next entry starts.

    Attributes
    ----------
    entitled_ : whether it lies within the fairness window.
    return_at_ : seconds when the last refused caller was told to come back.
    """

    __slots__ = ("name", "share", "start", "keys_", "entries_", "entitled_", "return_at_")

    def __init__(self, name, share, start):
        self.name = name
        self.share = share
        self.start = start
        self.keys_ = []
        self.entries_ = {}
        self.entitled_ = False
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

    Each operation costs O(log n) in the number of accounts. The heaps hold outdated items too,
    which are dropped when they come up.

    Attributes
    ----------
    accounts_ : the account queues, idle ones included while they are ahead of the others.
    virtual_time_ : the least start of all accounts with entries.
    starts_ : heap of those accounts by start.
    later_ : heap of those beyond the fairness window, by start.
    heads_ : heap of those within it, by their first entry.
    holding_s_ : moving average of how long a permit is held, 0 while unknown.
    """

    def __init__(self):
        self.accounts_ = {}
        self.accounts_max_ = ACCOUNTS_MIN
        self.virtual_time_ = 0.0
        self.starts_ = []
        self.later_ = []
        self.heads_ = []
        self.backlogged_ = 0
        self.shares_ = 0.0
        self.length_ = 0
        self.holding_s_ = 0.0

    def __len__(self):
        return self.length_

    def push(self, entry):
        """Add an entry."""
        account = self._account(entry)
        account.add(entry)
        self.length_ += 1
        if len(account.keys_) == 1:
            self.backlogged_ += 1
            self.shares_ += account.share
            heapq.heappush(self.starts_, (account.start, account.name))
            heapq.heappush(self.later_, (account.start, account.name))
        elif account.entitled_ and account.head() is entry:
            heapq.heappush(self.heads_, (account.keys_[0], account.name))

    def remove(self, entry):
        """Remove an entry that is in the queue."""
        account = self.accounts_[entry.query.account]
        was_head = account.head() is entry
        account.remove(entry)
        self.length_ -= 1
        if not account.keys_:
            self.backlogged_ -= 1
            self.shares_ -= account.share
            account.entitled_ = False
        elif account.entitled_ and was_head:
            heapq.heappush(self.heads_, (account.keys_[0], account.name))
        if len(self.heads_) + len(self.starts_) > OUTDATED_FACTOR * self.backlogged_ + HEAPS_MIN:
            self._rebuild()

    def pop(self, is_blocked=None):
        """Remove and return the entry that is next, or ``None``.

        :param is_blocked: tells of an account's name whether it may have nothing more now.
        """
        self._promote()
        blocked = []
        found = None
        while found is None and (account := self._pop_head()) is not None:
            if is_blocked is not None and is_blocked(account.name):
                blocked.append((account.keys_[0], account.name))
            else:
                found = account.head()
        for item in blocked:
            heapq.heappush(self.heads_, item)
        if found is not None:
            self.remove(found)
        return found

    def charge(self, entry):
        """Count a grant to an entry's account."""
        account = self._account(entry)
        idle = not account.keys_
        mean = (self.shares_ + idle * account.share) / (self.backlogged_ + idle)
        account.start += mean / account.share
        if idle:
            return
        heapq.heappush(self.starts_, (account.start, account.name))
        if account.start > self.virtual_time_ + FAIRNESS_WINDOW:
            account.entitled_ = False
            heapq.heappush(self.later_, (account.start, account.name))

    def count_waiting(self, account):
        """Return how many entries of an account wait."""
        queue = self.accounts_.get(account)
        return len(queue.keys_) if queue else 0

    def has_others(self, account):
        """Return whether an account is not the only one that waits."""
        return self.backlogged_ > (self.count_waiting(account) > 0)

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
        shares = self.shares_ + (0.0 if account.keys_ else account.share)
        holding = self.holding_s_ or completion_s / HOLDING_PRIOR_DIVISOR
        return holding / max(running, 1) * shares / account.share

    def _rebuild(self):
        """Drop what is outdated from the heaps."""
        current = [account for account in self.accounts_.values() if account.keys_]
        self.starts_ = [(account.start, account.name) for account in current]
        self.later_ = [(a.start, a.name) for a in current if not a.entitled_]
        self.heads_ = [(a.keys_[0], a.name) for a in current if a.entitled_]
        for heap in (self.starts_, self.later_, self.heads_):
            heapq.heapify(heap)

    def _promote(self):
        """Move the window on, and let the accounts in that it reaches."""
        while self.starts_ and not self._is_current(self.starts_[0]):
            heapq.heappop(self.starts_)
        if self.starts_:
            self.virtual_time_ = self.starts_[0][0]
        limit = self.virtual_time_ + FAIRNESS_WINDOW
        while self.later_ and self.later_[0][0] <= limit:
            self._entitle_next()

    def _entitle_next(self):
        item = heapq.heappop(self.later_)
        account = self.accounts_.get(item[1])
        if self._is_current(item) and not account.entitled_:
            account.entitled_ = True
            heapq.heappush(self.heads_, (account.keys_[0], account.name))

    def _pop_head(self):
        """Return the account whose first entry is next, beyond the window if need be."""
        while self.heads_ or self.later_:
            if not self.heads_:
                self._entitle_next()
                continue
            key, name = heapq.heappop(self.heads_)
            account = self.accounts_.get(name)
            if account is not None and account.entitled_ and account.keys_[0] == key:
                return account
        return None

    def _is_current(self, item):
        account = self.accounts_.get(item[1])
        return account is not None and bool(account.keys_) and account.start == item[0]

    def _account(self, entry):
        name = entry.query.account
        account = self.accounts_.get(name)
        if account is None:
            if len(self.accounts_) >= self.accounts_max_:
                self._forget_idle()
            account = AccountQueue(name, entry.share, self.virtual_time_)
            self.accounts_[name] = account
        elif not account.keys_:
            account.start = max(account.start, self.virtual_time_)
        if account.keys_:
            self.shares_ += entry.share - account.share
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
        self.accounts_max_ = max(ACCOUNTS_MIN, 2 * len(self.accounts_))
