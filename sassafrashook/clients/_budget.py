"""Sans-I/O budget that decides whose connection is closed when memory or descriptors run out."""

import heapq
import math
from enum import StrEnum

from sassafrashook.clients._listener import MAX_UNREAD_BYTES

BYTES_PER_MB = 1_048_576
# A router and a controller have 34 to 45 MB resident when they have started. The rest is for
# registrations, routes, links and logs.
PROCESS_MEMORY_MB = 48
# Part of the remaining memory that clients may hold. The other half is for the allocator, for
# copies that exist while a body is sent, and for bytes that arrive before an eviction takes effect.
CLIENT_MEMORY_FRACTION = 0.5
# Two bodies of the usual limit of 4 MiB: a request inside the limits is served on any host.
MIN_CLIENT_MEMORY_BYTES = 8 * BYTES_PER_MB
# Part of the descriptors for clients: each request in progress also needs one to an upstream.
CLIENT_DESCRIPTOR_FRACTION = 0.5
RESERVED_DESCRIPTORS = 64  # of a process without clients: listeners, files, links to controllers
MIN_CONNECTIONS = 16
# Memory of a connection that holds no data: socket, parser, tasks and their stacks, and what the
# kernel may hold for it unread.
CONNECTION_BYTES = 24_576 + MAX_UNREAD_BYTES
SCARCE_FRACTION = 0.75  # of the memory for clients
AMPLE_FRACTION = 0.5  # below it, connections that read a body may have large receive buffers
# After an eviction the sum is this much below the limit, so that the comparison of all connections
# is not repeated with each part that is received.
EVICTION_MARGIN_FRACTION = 1 / 16
# Part of the memory and of the connections that may be used by those that only wait for their
# client to read the last response.
CLOSING_FRACTION = 1 / 8
# Pause between two pieces of a body while memory is scarce, in which evicted connections release
# what they hold.
SCARCE_PAUSE_S = 0.001
# Weight of a request that waits for its upstream: the upstream already works on it, and its client
# can't end it sooner.
RUNNING_WEIGHT = 0.125
# Bounds of the age that counts. Size also counts for a share that has just begun, and a stream that
# has run for minutes is not taken for an incomplete body, which is refused after 10 s anyway.
MIN_AGE_S = 0.05
MAX_AGE_S = 10.0


class ClientPhase(StrEnum):
    """What a client's connection does."""

    IDLE = "idle"  # waits for a request
    READING = "reading"  # receives one; no byte of it has been sent to an upstream
    RUNNING = "running"  # waits for the response of an upstream
    SENDING = "sending"  # sends the response
    CLOSING = "closing"  # discards what the client still sends after the last response


class EvictionReason(StrEnum):
    """Which limit closed a client's connection; each value is an attribute of a counter."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    CLOSING = "closing"  # too many wait for their client to read the last response


def compute_memory_limit_bytes(memory_mb):
    """Return how much memory all clients together may use, ``None`` if it is not limited.

    :param memory_mb: memory of the host in MiB, ``None`` or 0 if it is not limited.

    >>> compute_memory_limit_bytes(152) // BYTES_PER_MB
    52
    """
    if not memory_mb:
        return None
    free_bytes = (memory_mb - PROCESS_MEMORY_MB) * BYTES_PER_MB
    return max(MIN_CLIENT_MEMORY_BYTES, round(free_bytes * CLIENT_MEMORY_FRACTION))


def compute_connection_limit(max_fds):
    """Return how many connections clients may have, ``None`` if they are not limited.

    :param max_fds: descriptors that the process may have, ``None`` or 0 if they are not limited.

    >>> compute_connection_limit(1_535)
    735
    """
    if not max_fds:
        return None
    return max(MIN_CONNECTIONS, int((max_fds - RESERVED_DESCRIPTORS) * CLIENT_DESCRIPTOR_FRACTION))


class ClientShare:
    """What one connection holds of the budget.

    :param budget: the :class:`ClientBudget`.
    :param evict: called with an :class:`EvictionReason`; it must not block, and must release what
        the connection holds.
    :param now: monotonic seconds.

    :ivar held_bytes_: bytes that the connection holds, including the connection itself.
    :ivar phase_: the :class:`ClientPhase`.
    :ivar since_: when the phase began, in monotonic seconds.
    :ivar eviction_: the :class:`EvictionReason` once the connection has been evicted.
    """

    __slots__ = ("_budget", "_evict", "held_bytes_", "phase_", "since_", "eviction_")

    def __init__(self, budget, evict, now):
        self._budget = budget
        self._evict = evict
        self.held_bytes_ = 0
        self.phase_ = ClientPhase.IDLE
        self.since_ = now
        self.eviction_ = None

    def begin(self, phase, now):
        """Record the begin of a phase.

        :param phase: a :class:`ClientPhase`.
        :param now: monotonic seconds.
        """
        self.phase_ = phase
        self.since_ = now
        self._budget.set_closing(self, phase is ClientPhase.CLOSING, now)

    def hold(self, data_bytes, now):
        """Record how much data the connection holds, and evict connections if it is too much.

        :param data_bytes: bytes of data that it holds in total.
        :param now: monotonic seconds.
        :returns: whether this connection may go on; otherwise it has been evicted.
        """
        self._budget.resize(self, CONNECTION_BYTES + data_bytes, now)
        return self.eviction_ is None

    def is_scarce(self):
        """Return whether most of the memory for clients is used."""
        return self._budget.used_bytes_ > SCARCE_FRACTION * self._budget.max_bytes

    def is_ample(self):
        """Return whether much of the memory for clients is free."""
        return self._budget.used_bytes_ < AMPLE_FRACTION * self._budget.max_bytes

    def is_exceeded(self):
        """Return whether evicted connections have yet to release memory before more is used."""
        budget = self._budget
        return budget.used_bytes_ + budget.evicted_bytes_ > budget.max_bytes

    def close(self):
        """Return what the connection holds to the budget."""
        self._budget.remove(self)

    def measure_claim(self, now):
        """Return by what the connections are compared; the largest one is evicted first.

        :param now: monotonic seconds.
        :returns: the weighted product of the size of the data and its age, and the age.
        """
        weight = RUNNING_WEIGHT if self.phase_ is ClientPhase.RUNNING else 1.0
        age_s = min(MAX_AGE_S, max(MIN_AGE_S, now - self.since_))
        return weight * (self.held_bytes_ - CONNECTION_BYTES) * age_s, weight * age_s

    def evict(self, reason):
        """Mark the connection as evicted and close it.

        :param reason: an :class:`EvictionReason`.
        """
        self.eviction_ = reason
        self._evict(reason)


class ClientBudget:
    """Divides memory and descriptors over the connections of all clients.

    A connection counts until it is closed. What an evicted one holds is not available before that,
    but no further connection is evicted for it.

    :param max_bytes: memory that all connections may hold, in bytes; ``None`` for no limit.
    :param max_connections: number of connections, ``None`` for no limit.
    :param record_eviction: called with the :class:`EvictionReason`, the evicted
        :class:`ClientShare`, or ``None`` if a new connection is refused, and the time.

    :ivar used_bytes_: bytes that all connections hold, without the evicted ones.
    :ivar evicted_bytes_: bytes that evicted connections have yet to release.
    :ivar shares_: set of the :class:`ClientShare` of all connections, without the evicted ones.
    """

    def __init__(self, max_bytes, max_connections, record_eviction=lambda *_: None):
        self.max_bytes = math.inf if max_bytes is None else max_bytes
        self.max_connections = math.inf if max_connections is None else max_connections
        self.record_eviction = record_eviction
        self.used_bytes_ = 0
        self.evicted_bytes_ = 0
        self.shares_ = set()
        self._evicted = set()
        self._closing = {}  # in the order in which they began to close
        self._closing_bytes = 0

    def open_share(self, evict, now):
        """Add a connection.

        If there are too many, one that is closing is evicted, or the one that has waited longest
        without a request in progress.

        :param evict: see :class:`ClientShare`.
        :param now: monotonic seconds.
        :returns: the :class:`ClientShare`, or ``None`` if the connection must be closed.
        """
        while len(self.shares_) >= self.max_connections:
            oldest = self._find_oldest_waiting()
            if oldest is None:
                self.record_eviction(EvictionReason.DESCRIPTORS, None, now)
                return None
            self._evict(oldest, EvictionReason.DESCRIPTORS, now)
        share = ClientShare(self, evict, now)
        self.shares_.add(share)
        share.hold(0, now)
        if share.eviction_ is not None:
            self.remove(share)
            return None
        return share

    def _find_oldest_waiting(self):
        """Return the share without a request in progress to evict first, ``None`` without one."""
        if self._closing:
            return next(iter(self._closing))
        waiting = [
            share
            for share in self.shares_
            if share.phase_ in (ClientPhase.IDLE, ClientPhase.READING)
        ]
        return min(waiting, key=lambda share: share.since_, default=None)

    def resize(self, share, held_bytes, now):
        """Set what a connection holds; see :meth:`ClientShare.hold`."""
        change = held_bytes - share.held_bytes_
        if share in self.shares_:
            share.held_bytes_ = held_bytes
            self.used_bytes_ += change
            if share in self._closing:
                self._closing_bytes += change
            if self.used_bytes_ > self.max_bytes:
                self._evict_largest(now)
        elif share in self._evicted:
            share.held_bytes_ = held_bytes
            self.evicted_bytes_ += change

    def _evict_largest(self, now):
        """Evict the connections with the largest claims until there is room."""
        claims = [
            (-claim, -age_s, number, share)
            for number, share in enumerate(self.shares_)
            for claim, age_s in (share.measure_claim(now),)
        ]
        heapq.heapify(claims)
        target_bytes = (1 - EVICTION_MARGIN_FRACTION) * self.max_bytes
        while claims and self.used_bytes_ > target_bytes:
            self._evict(heapq.heappop(claims)[-1], EvictionReason.MEMORY, now)

    def set_closing(self, share, is_closing, now):
        """Record whether a connection is closing, and evict the oldest of too many that are.

        An evicted connection that is closing counts as any other one.
        """
        self._forget_closing(share)
        if not is_closing:
            return
        if share in self._evicted:
            self._forget_evicted(share)
            self.shares_.add(share)
            self.used_bytes_ += share.held_bytes_
        if share in self.shares_:
            self._closing[share] = True
            self._closing_bytes += share.held_bytes_
        while len(self._closing) > 1 and (
            self._closing_bytes > CLOSING_FRACTION * self.max_bytes
            or len(self._closing) > CLOSING_FRACTION * self.max_connections
        ):
            self._evict(next(iter(self._closing)), EvictionReason.CLOSING, now)

    def _evict(self, share, reason, now):
        self.record_eviction(reason, share, now)
        self._forget(share)
        self._evicted.add(share)
        self.evicted_bytes_ += share.held_bytes_
        share.evict(reason)

    def remove(self, share):
        """Remove a connection and what it holds."""
        self._forget_evicted(share)
        self._forget(share)
        share.held_bytes_ = 0

    def _forget(self, share):
        self._forget_closing(share)
        if share in self.shares_:
            self.shares_.discard(share)
            self.used_bytes_ -= share.held_bytes_

    def _forget_closing(self, share):
        if self._closing.pop(share, False):
            self._closing_bytes -= share.held_bytes_

    def _forget_evicted(self, share):
        if share in self._evicted:
            self._evicted.discard(share)
            self.evicted_bytes_ -= share.held_bytes_
