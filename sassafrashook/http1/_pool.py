"""Pool of idle connections to upstreams."""

import time

from sassafrashook.http1._upstream import UpstreamConnection

MAX_IDLE_PER_UPSTREAM = 32


class ConnectionPool:
    """Keeps idle connections by upstream key.

    A restarted upstream has a new key, so a connection to its previous boot is never reused.

    :param connect_timeout_s: longest time that opening a connection may take, in seconds.

    :ivar idle_by_key_: lists of idle connections by upstream key.
    """

    def __init__(self, connect_timeout_s):
        self.connect_timeout_s = connect_timeout_s
        self.idle_by_key_ = {}

    def acquire(self, key, max_idle_s):
        """Take an idle connection that is still open out of the pool.

        Connections that are too old, closed or have unexpected data are closed on the way.

        :param key: upstream key that the connection was released under.
        :param max_idle_s: longest time that the connection may have been idle, in seconds.
        :returns: an :class:`UpstreamConnection`, or ``None`` if there is none.
        """
        now = time.monotonic()
        idle = self.idle_by_key_.get(key, [])
        while idle:
            connection = idle.pop()
            is_fresh = now < min(connection.idle_deadline_, connection.idle_since_ + max_idle_s)
            if is_fresh and connection.is_open_without_data():
                return connection
            connection.close()
        return None

    def take_oldest(self, key):
        """Take the idle connection that was opened first, and is still open, out of the pool.

        :param key: see :meth:`acquire`.
        :returns: an :class:`UpstreamConnection`, or ``None`` if there is none.
        """
        idle, now = self.idle_by_key_.get(key, []), time.monotonic()
        for connection in sorted(idle, key=lambda connection: connection.opened_at):
            if now < connection.idle_deadline_ and connection.is_open_without_data():
                idle.remove(connection)
                return connection
        return None

    def restore(self, key, connection):
        """Return a connection to the pool that stayed idle, so that its idle time goes on.

        :param key: see :meth:`acquire`.
        :param connection: the :class:`UpstreamConnection`, which has been marked as idle.
        """
        idle = self.idle_by_key_.setdefault(key, [])
        if len(idle) >= MAX_IDLE_PER_UPSTREAM or not connection.is_open_without_data():
            connection.close()
        else:
            idle.append(connection)

    def open(self, address, timeout_s, source_host=None):
        """Open a new connection.

        :param address: ``(host, port)`` of the upstream.
        :param timeout_s: longest time that it may take, in seconds; the pool's limit applies too.
        :param source_host: IP address to connect from, ``None`` for any.
        :raises OSError: if the connection can't be opened.
        """
        return UpstreamConnection(address, min(timeout_s, self.connect_timeout_s), source_host)

    def release(self, key, connection, head):
        """Return a connection to the pool, or close it if it is not reusable or the pool is full.

        :param key: key of the upstream.
        :param connection: the :class:`UpstreamConnection`.
        :param head: :class:`~sassafrashook.http1.ResponseHead` of the last response on it.
        """
        if connection.is_reusable():
            self._add_idle(key, connection, head.headers.get(b"keep-alive", ""))
        else:
            connection.close()

    def add_unused(self, key, connection):
        """Add a new connection that has carried no request, or close it if the pool is full.

        :param key: key of the upstream.
        :param connection: the :class:`UpstreamConnection`.
        """
        self._add_idle(key, connection)

    def _add_idle(self, key, connection, keep_alive=""):
        idle = self.idle_by_key_.setdefault(key, [])
        if len(idle) >= MAX_IDLE_PER_UPSTREAM:
            connection.close()
            return
        connection.mark_idle(time.monotonic(), keep_alive)
        idle.append(connection)

    def close_idle(self, key):
        """Close all idle connections to an upstream."""
        for connection in self.idle_by_key_.pop(key, ()):
            connection.close()

    def close_expired(self):
        """Close the idle connections that are past their deadline."""
        now = time.monotonic()
        for key in list(self.idle_by_key_):
            unexpired = []
            for connection in self.idle_by_key_[key]:
                if connection.idle_deadline_ > now:
                    unexpired.append(connection)
                else:
                    connection.close()
            self.idle_by_key_[key] = unexpired
            if not unexpired:
                del self.idle_by_key_[key]
