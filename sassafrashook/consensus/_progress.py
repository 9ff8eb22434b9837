"""Replication progress of one other member, as tracked by the leader."""

from collections import deque

__all__ = ["Progress"]


class Progress:
    """Replication progress of one member identity.

    :param next_index: index of the next entry to send.
    :param now: current time, seconds.

    :ivar match_index: last index up to which the member's durable log equals the leader's.
    :ivar acknowledged_round: last heartbeat round that the member acknowledged.
    :ivar last_contact_at: time of the last reply, seconds.
    :ivar resend_timer_started_at: start of the resend timer, seconds; it restarts when the match
        index advances, when probing restarts, and when a batch is sent with nothing in flight.
    :ivar in_flight: last index, number of entries and size in bytes of each unacknowledged batch.
    :ivar in_flight_bytes: size of all unacknowledged batches, bytes.
    :ivar probing: whether only one batch may be in flight, because the match index is unknown or
        a resend was due; ends when the match index advances.
    :ivar snapshot: snapshot that is being transferred, or ``None``.
    :ivar snapshot_offset: position of the next piece, bytes.
    :ivar snapshot_resend_at: time at which the current piece is sent again, seconds.
    :ivar snapshot_sent_at: time at which the last piece was sent, seconds.
    """

    __slots__ = (
        "acknowledged_round",
        "last_contact_at",
        "in_flight",
        "in_flight_bytes",
        "resend_timer_started_at",
        "match_index",
        "next_index",
        "probing",
        "snapshot",
        "snapshot_offset",
        "snapshot_resend_at",
        "snapshot_sent_at",
    )

    def __init__(self, next_index, now):
        self.next_index = next_index
        self.match_index = 0
        self.acknowledged_round = 0
        self.last_contact_at = now
        self.in_flight = deque()
        self.in_flight_bytes = 0
        self.probing = True
        self.resend_timer_started_at = now
        self.snapshot = None
        self.snapshot_offset = 0
        self.snapshot_resend_at = now
        self.snapshot_sent_at = float("-inf")

    def record_sent(self, entries):
        """Record a batch of entries as in flight."""
        size = sum(len(entry.data) for entry in entries)
        self.in_flight.append((entries[-1].index, len(entries), size))
        self.in_flight_bytes += size
        self.next_index = entries[-1].index + 1

    def record_match(self, index, now):
        """Record the index up to which the member has synced the log.

        :param index: match index.
        :param now: current time, seconds.
        :returns: whether the match index has advanced.
        """
        while self.in_flight and self.in_flight[0][0] <= index:
            self.in_flight_bytes -= self.in_flight.popleft()[2]
        advanced = index > self.match_index
        if advanced:
            self.match_index = index
            self.resend_timer_started_at = now
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.snapshot is not None and self.snapshot.index <= self.match_index:
            self.snapshot = None
        return advanced

    def restart_probing(self, next_index, now):
        """Discard the in-flight batches and probe the match index from ``next_index``."""
        self.in_flight.clear()
        self.in_flight_bytes = 0
        self.next_index = max(next_index, self.match_index + 1)
        self.probing = True
        self.resend_timer_started_at = now

    def get_piece_bytes(self, max_bytes):
        """Return the size of the piece of a snapshot that is in flight, at most ``max_bytes``."""
        return min(max_bytes, len(self.snapshot.data)) if self.snapshot is not None else 0

    def count_in_flight(self):
        """Return the number of entries in flight."""
        return sum(count for _, count, _ in self.in_flight)
