"""What a leader knows of one other member."""

from collections import deque

__all__ = ["Progress"]


class Progress:
    """Replication to one identity.

    :param next_index: the next entry to send.
    :param now: seconds.
    """

    __slots__ = (
        "acknowledged_round",
        "heard_at",
        "in_flight",
        "in_flight_bytes",
        "last_progress_at",
        "match_index",
        "next_index",
        "probing",
        "snapshot",
        "snapshot_offset",
        "snapshot_resend_at",
    )

    def __init__(self, next_index, now):
        self.next_index = next_index
        self.match_index = 0
        self.acknowledged_round = 0
        self.heard_at = now
        self.in_flight = deque()
        self.in_flight_bytes = 0
        self.probing = True
        self.last_progress_at = now
        self.snapshot = None
        self.snapshot_offset = 0
        self.snapshot_resend_at = now

    def note_sent(self, entries):
        """Count a batch as in flight."""
        size = sum(len(entry.data) for entry in entries)
        self.in_flight.append((entries[-1].index, len(entries), size))
        self.in_flight_bytes += size
        self.next_index = entries[-1].index + 1

    def note_match(self, index, now):
        """Take in what the member has synced.

        :returns: whether that is more than was known.
        """
        while self.in_flight and self.in_flight[0][0] <= index:
            self.in_flight_bytes -= self.in_flight.popleft()[2]
        advanced = index > self.match_index
        if advanced:
            self.match_index = index
            self.last_progress_at = now
        self.next_index = max(self.next_index, self.match_index + 1)
        if self.snapshot is not None and self.snapshot.index <= self.match_index:
            self.snapshot = None
        return advanced

    def restart(self, next_index, now):
        """Forget what is in flight and probe from an index."""
        self.in_flight.clear()
        self.in_flight_bytes = 0
        self.next_index = max(next_index, self.match_index + 1)
        self.probing = True
        self.last_progress_at = now

    def count_in_flight(self):
        """Return how many entries are in flight."""
        return sum(count for _, count, _ in self.in_flight)
