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
QUEUE_LINES = 20_000
BATCH_S = 0.05  # lines of this time share one write
REPORT_S = 5.0  # between two lines that tell how many were left out
FLUSH_S = 0.5
STDOUT = 1


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
        self._tokens = float(BURST_BYTES)
        self._refilled_at = clock()
        self._reported = 0
        self._lines = deque()
        self._waiting = Event()
        self._task = None

    def start(self):
        """Write by a task from now on."""
        if self._task is None:
            self._task = gevent.spawn(self._run)

    def put(self, line, is_urgent=False):
        """Queue one line.

        :param is_urgent: whether it may use the reserved share.
        :returns: whether there was room.
        """
        if self._task is None:
            sys.stdout.write(f"{line}\n")
            return True
        size = len(line) + 1
        if len(self._lines) >= QUEUE_LINES or not self._spend(size, is_urgent):
            self.left_out_ += 1
            return False
        self._lines.append(line)
        self._waiting.set()
        return True

    def _spend(self, size, is_urgent):
        now = self.clock()
        refill = (now - self._refilled_at) * BYTES_PER_S
        self._tokens = min(float(BURST_BYTES), self._tokens + refill)
        self._refilled_at = now
        floor = 0 if is_urgent else RESERVED_SHARE * BURST_BYTES
        if self._tokens - size < floor:
            return False
        self._tokens -= size
        return True

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
