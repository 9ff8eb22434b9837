"""Rate-limited writing of log lines to standard output that never blocks the event loop."""

import sys
import time
from collections import deque

import gevent
from gevent.event import Event
from gevent.os import tp_write

RATE_BYTES_PER_S = 65_536  # a tenth of the slowest link, so that shipping the logs stays cheap
BURST_BYTES = 524_288
RESERVED_SHARE = 0.25  # share of the burst reserved for warnings and errors
SAMPLING_SHARE = 0.75  # share of the burst below which only a sample of the requests is logged
EVENT_SHARE = 0.5  # maximum share of rate and burst for events of one name
MAX_QUEUED_LINES = 20_000
MAX_EVENT_NAMES = 200  # more than the number of event names in use
BATCH_INTERVAL_S = 0.05  # lines of one interval are written together
DROP_REPORT_INTERVAL_S = 5.0  # minimum time between two lines that report dropped lines
FLUSH_TIMEOUT_S = 0.5
STDOUT_FD = 1


class ByteBucket:
    """Token bucket that limits the number of bytes written.

    :param rate: refill rate, bytes per second.
    :param burst: capacity, bytes.
    :param now: the current time, monotonic seconds.
    """

    __slots__ = ("rate", "burst", "_available", "_refilled_at")

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = float(burst)
        self._available = self.burst
        self._refilled_at = now

    def refill(self, now):
        """Add the bytes that have accrued since the last call.

        :param now: the current time, monotonic seconds.
        :returns: number of bytes that may be written.
        """
        accrued = (now - self._refilled_at) * self.rate
        self._available = min(self.burst, self._available + accrued)
        self._refilled_at = now
        return self._available

    def consume(self, size):
        """Remove bytes that are about to be written."""
        self._available -= size


class LogSink:
    """Bounded queue of log lines with a greenlet that writes them.

    Lines are written synchronously until :meth:`start` is called. If standard output is not read,
    lines are dropped instead of blocking the process.

    :param write: called with bytes, returns the number written; the default writes in the
        thread pool of the hub, so that it blocks only the calling greenlet.
    :param clock: returns monotonic seconds.

    :ivar dropped_lines_: number of dropped lines.

    >>> sink = LogSink()
    >>> sink.put("event=done")
    event=done
    True
    """

    def __init__(self, write=None, clock=time.monotonic):
        self.write = write or (lambda data: tp_write(STDOUT_FD, data))
        self.clock = clock
        self.dropped_lines_ = 0
        self._bucket = ByteBucket(RATE_BYTES_PER_S, BURST_BYTES, clock())
        self._event_buckets = {}
        self._reported_drops = 0
        self._lines = deque()
        self._has_lines = Event()
        self._task = None

    def start(self):
        """Start the greenlet that writes queued lines."""
        if self._task is None:
            self._task = gevent.spawn(self._run)

    def put(self, line, is_urgent=False, event=""):
        """Queue one line, or drop it if a limit is reached.

        :param line: text without a line break at its end.
        :param is_urgent: whether the line may use the reserved share of the burst.
        :param event: name of its event, which has a rate limit of its own; empty for no such limit.
        :returns: whether the line was accepted.
        """
        if self._task is None:
            sys.stdout.write(f"{line}\n")
            return True
        if len(self._lines) >= MAX_QUEUED_LINES or not self._consume(
            len(line) + 1, is_urgent, event
        ):
            self.dropped_lines_ += 1
            return False
        self._lines.append(line)
        self._has_lines.set()
        return True

    def _consume(self, size, is_urgent, event):
        now = self.clock()
        reserve = 0 if is_urgent else RESERVED_SHARE * BURST_BYTES
        buckets = [self._bucket, self._get_event_bucket(event, now)] if event else [self._bucket]
        if self._bucket.refill(now) - size < reserve or buckets[-1].refill(now) < size:
            return False
        for bucket in buckets:
            bucket.consume(size)
        return True

    def _get_event_bucket(self, event, now):
        bucket = self._event_buckets.get(event)
        if bucket is None:
            if len(self._event_buckets) >= MAX_EVENT_NAMES:
                self._event_buckets.clear()
            bucket = ByteBucket(EVENT_SHARE * RATE_BYTES_PER_S, EVENT_SHARE * BURST_BYTES, now)
            self._event_buckets[event] = bucket
        return bucket

    def compute_sampling_rate(self):
        """Return the share of requests to be logged, from 0.0 to 1.0."""
        if self._task is None:
            return 1.0
        unreserved = self._bucket.refill(self.clock()) - RESERVED_SHARE * BURST_BYTES
        return max(0.0, min(1.0, unreserved / ((SAMPLING_SHARE - RESERVED_SHARE) * BURST_BYTES)))

    def _run(self):
        report_at = self.clock() + DROP_REPORT_INTERVAL_S
        while True:
            self._has_lines.wait(DROP_REPORT_INTERVAL_S)
            gevent.sleep(BATCH_INTERVAL_S)
            if self.clock() >= report_at and self.dropped_lines_ > self._reported_drops:
                report_at = self.clock() + DROP_REPORT_INTERVAL_S
                self._lines.append(f"event=log_lines_left_out total={self.dropped_lines_}")
                self._reported_drops = self.dropped_lines_
            self._write_batch()

    def _write_batch(self):
        self._has_lines.clear()
        if not self._lines:
            return
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        data = "".join(f"{line}\n" for line in lines).encode(errors="replace")
        try:
            while data:
                data = data[self.write(data) :]
        except OSError:
            self.dropped_lines_ += len(lines)  # the reading end of the stream is closed

    def flush(self):
        """Write all queued lines, for at most ``FLUSH_TIMEOUT_S``."""
        if self._task is None:
            return
        with gevent.Timeout(FLUSH_TIMEOUT_S, False):
            self._write_batch()
