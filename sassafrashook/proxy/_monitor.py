"""Ends waits on sockets that went silent, and notices callers that went away."""

import contextlib
import math
import socket

import gevent

from sassafrashook.base import Parametrized
from sassafrashook.tasks import spawn_task
from sassafrashook.utils import Interval

__all__ = ["Monitor", "Watch"]

MS_PER_S = 1_000


class Watch:
    """The deadlines of one request's two sockets.

    :param caller: the caller's socket, or ``None`` if its leaving must change nothing.

    Attributes: ``upstream_deadline`` and ``caller_deadline`` are monotonic seconds by which the
    awaited side must make progress; ``expired``, ``caller_gone`` and ``caller_stuck`` say why a
    socket was shut down.
    """

    __slots__ = (
        "caller",
        "caller_deadline",
        "caller_gone",
        "caller_stuck",
        "expired",
        "upstream",
        "upstream_deadline",
    )

    def __init__(self, caller=None):
        self.caller = caller
        self.caller_deadline = math.inf
        self.caller_gone = False
        self.caller_stuck = False
        self.upstream = None
        self.upstream_deadline = math.inf
        self.expired = False

    def attach(self, upstream):
        """Watch a new upstream socket."""
        self.upstream = upstream
        self.expired = False

    def detach(self):
        """Stop watching the upstream socket."""
        self.upstream = None
        self.upstream_deadline = math.inf

    def check_caller(self):
        """Return whether the caller is still there, as far as its socket tells."""
        if self.caller is not None and not self.caller_gone and _is_closed(self.caller):
            self.caller_gone = True
        return not self.caller_gone

    def expire(self, now):
        """Shut down whichever socket is past its deadline."""
        if now >= self.upstream_deadline and self.upstream is not None:
            self.expired = True
            _shut(self.upstream)
        if now >= self.caller_deadline and self.caller is not None:
            self.caller_stuck = True
            self.caller_gone = True
            _shut(self.caller)

    def end_if_caller_left(self):
        """Shut the upstream socket down if the caller went away."""
        if self.upstream is not None and not self.check_caller():
            _shut(self.upstream)


class Monitor(Parametrized):
    """Checks all watches in one greenlet, so that no timer is set for each event.

    :param clock: a :class:`~sassafrashook.proxy.Clock`.
    :param on_round: called in each nth round, or ``None``.
    :param interval_ms: time between two rounds.
    :param caller_rounds: the ``n`` of those rounds; callers' sockets are looked at in them too.
    """

    _parameter_constraints = {
        "interval_ms": Interval(int, 1, 10_000),
        "caller_rounds": Interval(int, 1, 1_000),
    }

    def __init__(self, clock, on_round=None, interval_ms=100, caller_rounds=4):
        self.clock = clock
        self.on_round = on_round
        self.interval_ms = interval_ms
        self.caller_rounds = caller_rounds
        self.watches_ = set()
        self.greenlet_ = None

    def start(self):
        """Start the greenlet."""
        self.validate_parameters()
        if self.greenlet_ is None:
            self.greenlet_ = spawn_task(self._run)

    def stop(self):
        """End the greenlet."""
        if self.greenlet_ is not None:
            self.greenlet_.kill()
            self.greenlet_ = None

    def add(self, watch):
        """Start checking a watch."""
        self.watches_.add(watch)

    def remove(self, watch):
        """Stop checking a watch."""
        self.watches_.discard(watch)

    def check(self, now, look_at_callers):
        """Check every watch once.

        :param now: monotonic seconds.
        :param look_at_callers: whether to look for callers that went away.
        """
        for watch in tuple(self.watches_):
            watch.expire(now)
            if look_at_callers:
                watch.end_if_caller_left()

    def _run(self):
        rounds = 0
        while True:
            gevent.sleep(self.interval_ms / MS_PER_S)
            rounds += 1
            is_long_round = rounds % self.caller_rounds == 0
            self.check(self.clock.monotonic(), is_long_round)
            if is_long_round and self.on_round:
                self.on_round()


def _shut(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _is_closed(sock):
    raw = getattr(sock, "_sock", sock)
    try:
        return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True
