"""Writes log lines to standard output, bounded, without ever holding up the event loop."""

import sys
import time
from collections import deque

import gevent
from gevent.event import Event
from gevent.os import tp_write

BYTES_PER_S = 65_536  # a tenth of the smallest link, so that shipping the lines stays cheap
BURST_BYTES = 524_288
RESERVED_SHARE = 0.25  # of the burst, for warnings and errors
SAMPLED_SHARE = 0.75  # of the burst; with less room than this only a share of requests is logged
KIND_SHARE = 0.5  # of rate and burst that one kind of event may use up
QUEUE_LINES = 20_000
MAX_KINDS = 200  # the project has fewer kinds of events
BATCH_S = 0.05  # lines of this time share one write
REPORT_S = 5.0  # between two lines that tell how many were left out
FLUSH_S = 0.5
STDOUT = 1


class ByteBudget:
    """Bytes that may be written, refilled at a steady rate.

    :param per_s: bytes refilled in a second.
    :param burst: most that can be left.
    :param now: seconds of the clock of all calls.
    """

    __slots__ = ("per_s", "burst", "_left", "_refilled_at")

    def __init__(self, per_s, burst, now):
        self.per_s = per_s
        self.burst = float(burst)
        self._left = self.burst
        self._refilled_at = now

    def left(self, now):
        """Return how many bytes may be written now."""
        refill = (now - self._refilled_at) * self.per_s
        self._left = min(self.burst, self._left + refill)
        self._refilled_at = now
        return self._left

    def spend(self, size):
        """Take bytes that are left."""
        self._left -= size


class LogSink:
    """A bounded queue of lines, and the task that writes them.

    Until :meth:`start` lines are written at once. A reader that takes nothing loses lines, and
    never holds up the process.

    :param write: called with bytes; may block, for it runs in the hub's thread pool.
    :param clock: returns monotonic seconds.

    :ivar left_out_: number of lines that were not written.

    >>> sink = LogSink()
    >>> sink.put("event=done")
    event=done
    True
    """

    def __init__(self, write=None, clock=time.monotonic):
        self.write = write or (lambda data: tp_write(STDOUT, data))
        self.clock = clock
        self.left_out_ = 0
        self._budget = ByteBudget(BYTES_PER_S, BURST_BYTES, clock())
        self._kinds = {}
        self._reported = 0
        self._lines = deque()
        self._waiting = Event()
        self._task = None

    def start(self):
        """Write by a task from now on."""
        if self._task is None:
            self._task = gevent.spawn(self._run)

    def put(self, line, is_urgent=False, kind=""):
        """Queue one line.

        :param is_urgent: whether it may use the reserved share.
        :param kind: name of its event, if no event of that name may use up all room.
        :returns: whether there was room.
        """
        if self._task is None:
            sys.stdout.write(f"{line}\n")
            return True
        if len(self._lines) >= QUEUE_LINES or not self._spend(len(line) + 1, is_urgent, kind):
            self.left_out_ += 1
            return False
        self._lines.append(line)
        self._waiting.set()
        return True

    def _spend(self, size, is_urgent, kind):
        now = self.clock()
        floor = 0 if is_urgent else RESERVED_SHARE * BURST_BYTES
        budgets = [self._budget, self._find_budget(kind, now)] if kind else [self._budget]
        if self._budget.left(now) - size < floor or budgets[-1].left(now) < size:
            return False
        for budget in budgets:
            budget.spend(size)
        return True

    def _find_budget(self, kind, now):
        budget = self._kinds.get(kind)
        if budget is None:
            if len(self._kinds) >= MAX_KINDS:
                self._kinds.clear()
            budget = ByteBudget(KIND_SHARE * BYTES_PER_S, KIND_SHARE * BURST_BYTES, now)
            self._kinds[kind] = budget
        return budget

    def room(self):
        """Return how much of its lines the log can take: 1.0 for all, 0.0 for none."""
        if self._task is None:
            return 1.0
        spare = self._budget.left(self.clock()) - RESERVED_SHARE * BURST_BYTES
        return max(0.0, min(1.0, spare / ((SAMPLED_SHARE - RESERVED_SHARE) * BURST_BYTES)))

    def _run(self):
        report_at = self.clock() + REPORT_S
        while True:
            self._waiting.wait(REPORT_S)
            gevent.sleep(BATCH_S)
            if self.clock() >= report_at and self.left_out_ > self._reported:
                report_at = self.clock() + REPORT_S
                self._lines.append(f"event=log_lines_left_out total={self.left_out_}")
                self._reported = self.left_out_
            self._write_batch()

    def _write_batch(self):
        self._waiting.clear()
        if not self._lines:
            return
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        data = "".join(f"{line}\n" for line in lines).encode(errors="replace")
        try:
            while data:
                data = data[self.write(data) :]
        except OSError:
            self.left_out_ += len(lines)  # nobody reads the stream any more

    def flush(self):
        """Write what is queued, for a short while at most."""
        if self._task is None:
            return
        with gevent.Timeout(FLUSH_S, False):
            self._write_batch()
