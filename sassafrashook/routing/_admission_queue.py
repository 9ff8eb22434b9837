"""Waiting queue of one service: earliest deadline first, with weighted fair sharing by account.

Each account has its own queue, ordered by the latest time at which a grant still meets the waiting
target of the work class, then by class priority. Start-time fair queueing, weighted by the account
shares, limits how far one account may run ahead of the others. Accounts within that window are
*eligible*; among them the entry with the earliest deadline is next.
"""

import heapq
from bisect import bisect_left, insort
from dataclasses import dataclass

from sassafrashook.messages import PermitRequested

# Maximum lead of an account in virtual time; 1.0 is one grant to an account with the mean share.
FAIRNESS_WINDOW = 2.0
RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_MAX_S = 60.0
RETRY_SPREAD = 0.25  # largest relative change of a retry time, in either direction
HOLD_TIME_SMOOTHING = 1 / 32  # weight of a new observation in the moving average
HOLD_TIME_PRIOR_DIVISOR = 4  # completion target / 4 is the estimate before any observation
CLEANUP_SIZE_MIN = 64  # number of accounts below which idle ones are kept
# The heaps are rebuilt when they hold more than HEAP_REBUILD_FACTOR items for each account with
# entries, plus HEAP_REBUILD_MIN.
HEAP_REBUILD_MIN = 1_024
HEAP_REBUILD_FACTOR = 8


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A request that waits for a permit.

    :param session: the :class:`Session` of its router.
    :param service: the :class:`ServiceState` of its service.
    :param query: the :class:`~sassafrashook.messages.PermitRequested` message.
    :param arrived: seconds when the request reached the owner.
    :param deadline: seconds; a grant after this misses the waiting target.
    :param priority: class priority; the smaller number is first among equal deadlines.
    :param sequence: number in order of arrival.
    :param share: weight of its account in fair queueing.
    :param completion_s: completion target of its class, seconds.
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

    def sort_key(self):
        """Return the sort key of the entry within its account."""
        return (self.deadline, self.priority, self.sequence)


class AccountQueue:
    """The waiting entries of one account.

    :param name: name of the account.
    :param share: weight of the account.
    :param start: virtual start time of its next grant.
    :ivar keys_: sort keys of the entries, ascending.
    :ivar entries_: the entries, by sequence number.
    :ivar eligible_: whether its start lies within the fairness window.
    :ivar last_retry_at_: latest retry time given to a refused request, seconds.
    """

    __slots__ = ("name", "share", "start", "keys_", "entries_", "eligible_", "last_retry_at_")

    def __init__(self, name, share, start):
        self.name = name
        self.share = share
        self.start = start
        self.keys_ = []
        self.entries_ = {}
        self.eligible_ = False
        self.last_retry_at_ = 0.0

    def add(self, entry):
        """Insert an entry in sort order."""
        insort(self.keys_, entry.sort_key())
        self.entries_[entry.sequence] = entry

    def remove(self, entry):
        """Remove an entry."""
        del self.keys_[bisect_left(self.keys_, entry.sort_key())]
        del self.entries_[entry.sequence]

    def head(self):
        """Return the entry with the smallest sort key."""
        return self.entries_[self.keys_[0][2]]


class AdmissionQueue:
    """Waiting requests of one service.

    Each operation costs O(log n) in the number of accounts. The heaps use lazy deletion: outdated
    items are dropped when they reach the top, or when the heaps are rebuilt.

    :ivar accounts_: account queues by name; an idle account is kept while its start is ahead of
        the virtual time.
    :ivar cleanup_size_: number of accounts at which idle ones are dropped.
    :ivar virtual_time_: smallest start among the accounts with entries.
    :ivar start_heap_: accounts with entries, by start.
    :ivar deferred_heap_: those beyond the fairness window, by start.
    :ivar eligible_heap_: those within the fairness window, by the key of their first entry.
    :ivar backlogged_count_: number of accounts with entries.
    :ivar backlogged_share_: sum of their shares.
    :ivar length_: number of entries.
    :ivar mean_hold_s_: moving average of how long a permit is held, seconds; 0 while unknown.
    """

    def __init__(self):
        self.accounts_ = {}
        self.cleanup_size_ = CLEANUP_SIZE_MIN
        self.virtual_time_ = 0.0
        self.start_heap_ = []
        self.deferred_heap_ = []
        self.eligible_heap_ = []
        self.backlogged_count_ = 0
        self.backlogged_share_ = 0.0
        self.length_ = 0
        self.mean_hold_s_ = 0.0

    def __len__(self):
        return self.length_

    def push(self, entry):
        """Add an entry to the queue of its account."""
        account = self._get_or_create_account(entry)
        account.add(entry)
        self.length_ += 1
        if len(account.keys_) == 1:
            self.backlogged_count_ += 1
            self.backlogged_share_ += account.share
            heapq.heappush(self.start_heap_, (account.start, account.name))
            heapq.heappush(self.deferred_heap_, (account.start, account.name))
        elif account.eligible_ and account.head() is entry:
            heapq.heappush(self.eligible_heap_, (account.keys_[0], account.name))

    def remove(self, entry):
        """Remove an entry that is in the queue."""
        account = self.accounts_[entry.query.account]
        was_head = account.head() is entry
        account.remove(entry)
        self.length_ -= 1
        if not account.keys_:
            self.backlogged_count_ -= 1
            self.backlogged_share_ -= account.share
            account.eligible_ = False
        elif account.eligible_ and was_head:
            heapq.heappush(self.eligible_heap_, (account.keys_[0], account.name))
        if (
            len(self.eligible_heap_) + len(self.start_heap_)
            > HEAP_REBUILD_FACTOR * self.backlogged_count_ + HEAP_REBUILD_MIN
        ):
            self._rebuild_heaps()

    def pop(self, is_blocked=None):
        """Remove and return the next entry, or ``None``.

        :param is_blocked: function from an account's name to whether its entries are skipped.
        """
        self._advance_virtual_time()
        blocked = []
        next_entry = None
        while next_entry is None and (account := self._pop_eligible_account()) is not None:
            if is_blocked is not None and is_blocked(account.name):
                blocked.append((account.keys_[0], account.name))
            else:
                next_entry = account.head()
        for item in blocked:
            heapq.heappush(self.eligible_heap_, item)
        if next_entry is not None:
            self.remove(next_entry)
        return next_entry

    def charge(self, entry):
        """Advance the virtual start of an entry's account by one grant."""
        account = self._get_or_create_account(entry)
        idle = not account.keys_
        mean_share = (self.backlogged_share_ + idle * account.share) / (
            self.backlogged_count_ + idle
        )
        account.start += mean_share / account.share
        if idle:
            return
        heapq.heappush(self.start_heap_, (account.start, account.name))
        if account.start > self.virtual_time_ + FAIRNESS_WINDOW:
            account.eligible_ = False
            heapq.heappush(self.deferred_heap_, (account.start, account.name))

    def count_waiting(self, account):
        """Return the number of waiting entries of an account.

        :param account: name of the account.
        """
        queue = self.accounts_.get(account)
        return len(queue.keys_) if queue else 0

    def has_other_accounts(self, account):
        """Return whether any other account has waiting entries.

        :param account: name of the account.
        """
        return self.backlogged_count_ > (self.count_waiting(account) > 0)

    def record_hold_time(self, seconds):
        """Add one observation to the moving average of hold times.

        :param seconds: how long a permit was held.
        """
        if not self.mean_hold_s_:
            self.mean_hold_s_ = seconds
        self.mean_hold_s_ += (seconds - self.mean_hold_s_) * HOLD_TIME_SMOOTHING

    def estimate_wait(self, entry, running):
        """Estimate how long an entry would wait if its account were granted permits at its share.

        Only entries of the same account are counted as ahead of it.

        :param entry: the entry, not yet in the queue.
        :param running: number of permits in use at the upstreams of the service.
        :returns: seconds.
        """
        account = self._get_or_create_account(entry)
        ahead = bisect_left(account.keys_, entry.sort_key())
        return (ahead + 1) * self._estimate_grant_interval(account, running, entry.completion_s)

    def next_retry_delay_s(self, entry, excess_s, running, now, rng):
        """Return the delay after which a refused request should be retried.

        Retry times of one account follow each other at the rate at which its queue drains, with a
        random spread.

        :param entry: the refused entry.
        :param excess_s: seconds by which its wait would miss the waiting target.
        :param running: number of permits in use at the upstreams of the service.
        :param now: the current time, seconds.
        :param rng: random number generator with a ``uniform`` method.
        :returns: the delay in seconds.
        """
        account = self._get_or_create_account(entry)
        interval_s = self._estimate_grant_interval(account, running, entry.completion_s)
        account.last_retry_at_ = max(account.last_retry_at_, now + excess_s) + interval_s
        wait_s = (account.last_retry_at_ - now) * rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return min(max(wait_s, RETRY_AFTER_MIN_S * rng.uniform(1, 2)), RETRY_AFTER_MAX_S)

    def _estimate_grant_interval(self, account, running, completion_s):
        total_share = self.backlogged_share_ + (0.0 if account.keys_ else account.share)
        hold_s = self.mean_hold_s_ or completion_s / HOLD_TIME_PRIOR_DIVISOR
        return hold_s / max(running, 1) * total_share / account.share

    def _rebuild_heaps(self):
        """Rebuild the heaps without outdated items."""
        current = [account for account in self.accounts_.values() if account.keys_]
        self.start_heap_ = [(account.start, account.name) for account in current]
        self.deferred_heap_ = [
            (queue.start, queue.name) for queue in current if not queue.eligible_
        ]
        self.eligible_heap_ = [(queue.keys_[0], queue.name) for queue in current if queue.eligible_]
        for heap in (self.start_heap_, self.deferred_heap_, self.eligible_heap_):
            heapq.heapify(heap)

    def _advance_virtual_time(self):
        """Advance the virtual time and make the accounts within the fairness window eligible."""
        while self.start_heap_ and not self._is_current(self.start_heap_[0]):
            heapq.heappop(self.start_heap_)
        if self.start_heap_:
            self.virtual_time_ = self.start_heap_[0][0]
        eligible_until = self.virtual_time_ + FAIRNESS_WINDOW
        while self.deferred_heap_ and self.deferred_heap_[0][0] <= eligible_until:
            self._make_next_eligible()

    def _make_next_eligible(self):
        item = heapq.heappop(self.deferred_heap_)
        account = self.accounts_.get(item[1])
        if self._is_current(item) and not account.eligible_:
            account.eligible_ = True
            heapq.heappush(self.eligible_heap_, (account.keys_[0], account.name))

    def _pop_eligible_account(self):
        """Return the eligible account whose first entry is next.

        If none is eligible, the account that starts first is made eligible. Returns ``None`` if
        there are no entries.
        """
        while self.eligible_heap_ or self.deferred_heap_:
            if not self.eligible_heap_:
                self._make_next_eligible()
                continue
            key, name = heapq.heappop(self.eligible_heap_)
            account = self.accounts_.get(name)
            if account is not None and account.eligible_ and account.keys_[0] == key:
                return account
        return None

    def _is_current(self, item):
        account = self.accounts_.get(item[1])
        return account is not None and bool(account.keys_) and account.start == item[0]

    def _get_or_create_account(self, entry):
        name = entry.query.account
        account = self.accounts_.get(name)
        if account is None:
            if len(self.accounts_) >= self.cleanup_size_:
                self._drop_idle_accounts()
            account = AccountQueue(name, entry.share, self.virtual_time_)
            self.accounts_[name] = account
        elif not account.keys_:
            account.start = max(account.start, self.virtual_time_)
        if account.keys_:
            self.backlogged_share_ += entry.share - account.share
        account.share = entry.share
        return account

    def _drop_idle_accounts(self):
        idle = [
            name
            for name, account in self.accounts_.items()
            if not account.keys_ and account.start <= self.virtual_time_
        ]
        for name in idle:
            del self.accounts_[name]
        self.cleanup_size_ = max(CLEANUP_SIZE_MIN, 2 * len(self.accounts_))
