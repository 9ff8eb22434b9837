"""Shuts down sockets that miss their progress deadline and detects disconnected callers."""

import contextlib
import math
import socket

import gevent

from sassafrashook.base import Parametrized
from sassafrashook.tasks import spawn_task
from sassafrashook.utils import Interval

__all__ = ["SocketMonitor", "SocketWatch"]

MS_PER_S = 1_000


class SocketWatch:
    """Progress deadline of the upstream's socket of one request, and the caller's socket.

    :param caller_socket: the caller's socket, or ``None`` to ignore a disconnect of the caller.
    :ivar upstream_deadline: monotonic seconds by which the upstream must send bytes.
    :ivar upstream_timed_out: whether the upstream's socket was shut down at its deadline.
    :ivar caller_disconnected: whether the caller disconnected.
    """

    __slots__ = (
        "caller_socket",
        "caller_disconnected",
        "upstream_timed_out",
        "upstream_socket",
        "upstream_deadline",
    )

    def __init__(self, caller_socket=None):
        self.caller_socket = caller_socket
        self.caller_disconnected = False
        self.upstream_socket = None
        self.upstream_deadline = math.inf
        self.upstream_timed_out = False

    def attach(self, upstream_socket):
        """Start watching an upstream socket; ``upstream_deadline`` is left as it is."""
        self.upstream_socket = upstream_socket
        self.upstream_timed_out = False

    def detach(self):
        """Stop watching the upstream socket."""
        self.upstream_socket = None
        self.upstream_deadline = math.inf

    def is_caller_connected(self):
        """Return whether the caller's socket is still open, and record a disconnect."""
        if (
            self.caller_socket is not None
            and not self.caller_disconnected
            and _is_closed_by_peer(self.caller_socket)
        ):
            self.caller_disconnected = True
        return not self.caller_disconnected

    def shut_down_expired(self, now):
        """Shut down the upstream's socket if it is past its deadline.

        :param now: monotonic seconds.
        """
        if now >= self.upstream_deadline and self.upstream_socket is not None:
            self.upstream_timed_out = True
            _shut_down(self.upstream_socket)

    def shut_down_if_caller_disconnected(self):
        """Shut down the upstream's socket if the caller has disconnected."""
        if self.upstream_socket is not None and not self.is_caller_connected():
            _shut_down(self.upstream_socket)


class SocketMonitor(Parametrized):
    """Checks all watches from one greenlet, which avoids a timer for each received event.

    :param clock: a :class:`~sassafrashook.proxy.Clock`.
    :param on_caller_check: callable run after callers' sockets were checked, or ``None``.
    :param interval_ms: milliseconds between two rounds of checks.
    :param caller_check_rounds: callers' sockets are checked once in this many rounds.
    :ivar watches_: set of the :class:`SocketWatch` that are checked.
    :ivar greenlet_: greenlet that runs the checks, or ``None`` while stopped.
    :raises ParameterError: from :meth:`start`.
    """

    _parameter_constraints = {
        "interval_ms": Interval(int, 1, 10_000),
        "caller_check_rounds": Interval(int, 1, 1_000),
    }

    def __init__(self, clock, on_caller_check=None, interval_ms=100, caller_check_rounds=4):
        self.clock = clock
        self.on_caller_check = on_caller_check
        self.interval_ms = interval_ms
        self.caller_check_rounds = caller_check_rounds
        self.watches_ = set()
        self.greenlet_ = None

    def start(self):
        """Start checking in a new greenlet."""
        self.validate_parameters()
        if self.greenlet_ is None:
            self.greenlet_ = spawn_task(self._run)

    def stop(self):
        """Stop checking."""
        if self.greenlet_ is not None:
            self.greenlet_.kill()
            self.greenlet_ = None

    def add(self, watch):
        """Add a watch to the checks."""
        self.watches_.add(watch)

    def remove(self, watch):
        """Remove a watch from the checks."""
        self.watches_.discard(watch)

    def check(self, now, checks_callers):
        """Check every watch once.

        :param now: monotonic seconds.
        :param checks_callers: whether to detect disconnected callers.
        """
        for watch in tuple(self.watches_):
            watch.shut_down_expired(now)
            if checks_callers:
                watch.shut_down_if_caller_disconnected()

    def _run(self):
        rounds = 0
        while True:
            gevent.sleep(self.interval_ms / MS_PER_S)
            rounds += 1
            is_caller_check_round = rounds % self.caller_check_rounds == 0
            self.check(self.clock.monotonic(), is_caller_check_round)
            if is_caller_check_round and self.on_caller_check:
                self.on_caller_check()


def _shut_down(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _is_closed_by_peer(sock):
    raw = getattr(sock, "_sock", sock)
    try:
        return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True
