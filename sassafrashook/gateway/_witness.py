"""Proof that the boot of an upstream that sent an unframed response lived on after its end.

The crash of an upstream ends a response without a length as its completion does. The end may reach
this router late, when the upstream has been started again under the same name. A connection that is
older than the request, and answers after the end, ends in the process that ran the request.
"""

import time

from sassafrashook.http1 import UpstreamResponseError

# No upstream crashes and accepts connections again within this time.
MIN_RESTART_S = 0.5
# What was held up on its way arrives at once. A response that goes on for this time after its head
# is sent by a process that still runs.
MIN_CONTINUATION_S = 1.0
CONFIRMATION_TIMEOUT_S = 1.0  # for the answer on the older connection
# The requests of a service are accompanied by a second connection for this time after one of its
# upstreams has sent an unframed response.
UNFRAMED_RETENTION_S = 60.0
MAX_ANSWER_BYTES = 65_536


class Witness:
    """A connection to the upstream of one attempt, on which nothing else is sent meanwhile.

    :param gateway: the :class:`~sassafrashook.gateway.Gateway`.
    :param upstream: the :class:`~sassafrashook.placement.UpstreamState`.
    :param sent_at: when the request was about to be sent, in monotonic seconds.

    :ivar connection_: the :class:`~sassafrashook.http1.UpstreamConnection`, ``None`` if there is
        none.
    """

    __slots__ = ("gateway", "upstream", "sent_at", "connection_")

    def __init__(self, gateway, upstream, sent_at):
        self.gateway = gateway
        self.upstream = upstream
        self.sent_at = sent_at
        self.connection_ = None

    def open(self, timeout_s):
        """Take the oldest idle connection out of the pool, or open one; failures are ignored.

        :param timeout_s: longest time that opening it may take, in seconds.
        """
        if self.connection_ is not None:
            return
        pool, upstream = self.gateway.pool, self.upstream
        self.connection_ = pool.take_oldest(upstream.key)
        if self.connection_ is None:
            try:
                self.connection_ = pool.open(upstream.registration.address, timeout_s)
            except OSError:
                self.gateway.request_probe(upstream)
            else:
                self.connection_.mark_idle(time.monotonic())

    def proves(self, awaited_data_at):
        """Return whether the same process holds the witness and ran the request.

        :param awaited_data_at: last time at which data of the response had not arrived that arrived
            later, in monotonic seconds.
        """
        if self.connection_ is None:
            return False
        opened_at = self.connection_.opened_at
        if opened_at < self.sent_at + MIN_RESTART_S:
            return True
        return awaited_data_at >= opened_at + MIN_CONTINUATION_S

    def is_answered(self, health_path, deadline):
        """Ask for the upstream's health and return whether it answers, in whatever state it is.

        The connection is then returned to the pool.

        :param health_path: path of the service's health checks.
        :param deadline: monotonic seconds.
        """
        connection, self.connection_ = self.connection_, None
        codec, upstream_id = self.gateway.header_codec, self.upstream.registration.upstream_id
        deadline = min(deadline, time.monotonic() + CONFIRMATION_TIMEOUT_S)
        size = 0
        try:
            fields = codec.encode_health_request(self.upstream.registration.address)
            connection.send_request(b"GET", health_path.encode(), fields, b"")
            head = connection.read_head(lambda _head: True, deadline)
            while (data := connection.read_data(deadline)) is not None:
                size += len(data)
                if size > MAX_ANSWER_BYTES:
                    raise UpstreamResponseError("the answer to a health check is too long")
        except (OSError, ValueError):
            connection.close()
            return False
        self.gateway.pool.release(self.upstream.key, connection, head)
        metadata = codec.decode_response_head(head)
        if metadata.upstream_id is not None:
            return metadata.upstream_id == upstream_id
        return metadata.was_not_executed and not metadata.is_misdirected

    def release(self):
        """Return the connection to the pool if it has not been used."""
        connection, self.connection_ = self.connection_, None
        if connection is not None:
            self.gateway.pool.restore(self.upstream.key, connection)
