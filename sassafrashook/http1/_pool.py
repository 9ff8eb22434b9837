"""Idle connections to upstreams."""

import time

from sassafrashook.http1._upstream import UpstreamConnection

MAX_IDLE = 32  # idle connections kept for each upstream


class ConnectionPool:
    """Idle connections by upstream; an upstream that starts anew has another key.

    :param connect_timeout_s: how long opening a connection may take.

    :ivar idle_: connections by key.
    """

    def __init__(self, connect_timeout_s):
        self.connect_timeout_s = connect_timeout_s
        self.idle_ = {}

    def take(self, key, max_idle_s):
        """Return an idle connection that is still open, or ``None``.

        :param key: what it was put back under.
        :param max_idle_s: connections unused for longer are not returned.
        """
        now = time.monotonic()
        idle = self.idle_.get(key, [])
        while idle:
            connection = idle.pop()
            is_fresh = now < min(connection.idle_deadline_, connection.idle_since_ + max_idle_s)
            if is_fresh and connection.is_quiet():
                return connection
            connection.close()
        return None

    def open(self, address, timeout_s):
        """Open a new connection.

        :raises OSError: if it can't be opened.
        """
        return UpstreamConnection(address, min(timeout_s, self.connect_timeout_s))

    def put(self, key, connection, head):
        """Keep a connection after a complete exchange, or close it.

        :param head: the response's :class:`~sassafrashook.http1.ResponseHead`.
        """
        idle = self.idle_.setdefault(key, [])
        if not connection.is_reusable() or len(idle) >= MAX_IDLE:
            connection.close()
            return
        connection.set_idle(head, time.monotonic())
        idle.append(connection)

    def drop(self, key):
        """Close the idle connections of an upstream."""
        for connection in self.idle_.pop(key, ()):
            connection.close()

    def close_expired(self):
        """Close idle connections past their deadline."""
        now = time.monotonic()
        for key in list(self.idle_):
            kept = []
            for connection in self.idle_[key]:
                if connection.idle_deadline_ > now:
                    kept.append(connection)
                else:
                    connection.close()
            self.idle_[key] = kept
            if not kept:
                del self.idle_[key]
