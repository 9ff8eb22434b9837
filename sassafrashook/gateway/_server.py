"""Accepts client connections and serves their requests until the server is stopped."""

import math
import time

import gevent
from absl import logging

from sassafrashook.clients import make_stream_server
from sassafrashook.gateway._peers import take_max_upstreams
from sassafrashook.gateway._request import DEFAULT_DEADLINE_MS, RequestHandler
from sassafrashook.gateway._responses import STATUS_UNAVAILABLE, send_text
from sassafrashook.gateway._stopping import GracefulStop
from sassafrashook.http1 import (
    ClientDisconnectedError,
    InvalidRequestError,
    MemoryLimitError,
    ServerConnection,
)
from sassafrashook.outcomes import RefusalReason, Verdict
from sassafrashook.telemetry import log_event
from sassafrashook.utils import read_boot_time

LISTEN_BACKLOG = 1_024
SEND_TIMEOUT_S = 10.0  # a client that has not accepted a send by then counts as disconnected
BODY_TIMEOUT_S = 10.0
STOP_POLL_INTERVAL_S = 0.05
# Delays after the start of a graceful stop. Idle connections stay open until the load balancer has
# removed the node: it checks readiness once a second and removes a node after two failed checks.
CLOSE_IDLE_AFTER_S = 2.2
STOP_ACCEPTING_AFTER_S = 3.5
MIN_CONNECTION_S = 0.3  # a new connection is not closed as idle for this time
STOPPING_RETRY_MS = (10, 100)  # bounds of the random retry delay once others get all connections
# Bounds of the random retry delay while there is no configuration, or it may be outdated. A restart
# of the whole fleet takes about 1 s; the range spreads the retries of the clients.
NO_CONFIGURATION_RETRY_MS = (400, 800)
# Bounds of the random retry delay of a request whose body did not fit into the memory for clients.
MEMORY_LIMIT_RETRY_MS = (1_000, 3_000)
# A request waits for the first configuration for this fraction of its deadline, but no longer than
# the maximum: after a restart of all hosts, a router on a slow host receives it within that time.
# Clients that repeat a request once have mostly lost their first attempt by then, so that a refusal
# after 0.5 s ended a third of the requests of the two seconds after such a restart.
CONFIGURATION_WAIT_FRACTION = 0.2
MAX_CONFIGURATION_WAIT_S = 2.0
STATUS_NOT_FOUND = 404
STATUS_UNAUTHORIZED = 401
MS_PER_S = 1_000


class GatewayServer:
    """Listens for clients and serves their requests.

    :param gateway: the :class:`~sassafrashook.gateway.Gateway`.
    :param host: IP address to listen on.
    :param port: port to listen on, 0 to let the system choose one.
    :param is_for_peers: whether the clients are other routers, which forward requests for which
        they reach no upstream with room. Other clients are not accepted then.
    :param listener: listening socket to use, ``None`` to open one at the start.

    :ivar active_request_count_: number of requests in progress.
    :ivar open_connection_count_: number of connections on which a request may be read or served.
    :ivar stop_: the :class:`~sassafrashook.gateway._stopping.GracefulStop` once :meth:`stop` has
        been called, else ``None``.
    :ivar server_: the ``gevent.server.StreamServer`` once started.
    """

    def __init__(self, gateway, host, port, is_for_peers=False, listener=None):
        self.gateway = gateway
        self.host = host
        self.port = port
        self.is_for_peers = is_for_peers
        self.listener = listener
        self.active_request_count_ = 0
        self.open_connection_count_ = 0
        self.server_ = None
        self.stop_ = None
        self._should_close_idle = False

    @property
    def is_stopping_(self):
        """Whether :meth:`stop` has been called."""
        return self.stop_ is not None

    def start(self):
        """Listen and start to serve clients.

        :raises OSError: if the address can't be used.
        """
        self.server_ = make_stream_server(
            (self.host, self.port), self._handle_client, self.gateway.client_budget,
            LISTEN_BACKLOG, self.listener,
        )  # fmt: skip
        self.server_.start()
        self.port = self.server_.server_port

    def stop(self, deadline):
        """Stop gracefully.

        Continues to serve until the load balancer has removed the node, then closes idle
        connections, stops accepting new ones and waits for the requests in progress, and for those
        that may still come on connections that were accepted last. Those that have not ended
        shortly before the deadline are ended with an error response.

        :param deadline: time at which the requests still in progress are no longer waited
            for, in monotonic seconds.
        :returns: number of requests still in progress.
        """
        started_at = time.monotonic()
        self.stop_ = GracefulStop(started_at, deadline)
        _sleep_until(min(self.stop_.end_at, started_at + CLOSE_IDLE_AFTER_S))
        self._should_close_idle = True
        _sleep_until(min(self.stop_.end_at, started_at + STOP_ACCEPTING_AFTER_S))
        self.server_.stop_accepting()
        gevent.sleep(0)  # the tasks of the connections that were accepted last begin
        self._wait_for_connections(self.stop_.end_at)
        if self.active_request_count_:
            ended = self.gateway.end_requests()
            log_event("requests_ended_at_stop", level="warning", count=ended)
            self._wait_for_connections(deadline)
        self.server_.close()
        return self.active_request_count_

    def _wait_for_connections(self, until):
        while self.open_connection_count_ and time.monotonic() < until:
            gevent.sleep(STOP_POLL_INTERVAL_S)

    def _handle_client(self, sock, address):
        if self.is_for_peers and address[0] not in self.gateway.view.routers_:
            log_event("peer_rejected", level="warning", address=address[0])
            sock.close()
            return
        limits = self.gateway.get_client_limits()
        budget = self.gateway.client_budget
        client = ServerConnection(sock, limits.max_header_bytes, SEND_TIMEOUT_S, budget)
        if not client.is_admitted_:
            client.abort()
            return
        try:
            self._serve_requests(client)
        except ClientDisconnectedError:
            client.abort()
        except Exception:
            logging.exception("event=request_handler_failed")
            client.abort()
        else:
            client.close()

    def _serve_requests(self, client):
        """Serve requests until none may be read on the connection any more."""
        self.open_connection_count_ += 1
        try:
            self._serve_until_idle(client)
        finally:
            self.open_connection_count_ -= 1

    def _serve_until_idle(self, client):
        keep_until = time.monotonic() + MIN_CONNECTION_S
        while True:
            limits = self.gateway.get_client_limits()
            idle_deadline = time.monotonic() + limits.idle_timeout_ms / 1_000
            if not client.wait_for_request(idle_deadline, lambda: self._may_close_idle(keep_until)):
                return
            limits = self.gateway.get_client_limits()  # the configuration may have changed
            client.limit_header(limits.max_header_bytes)
            self.active_request_count_ += 1
            try:
                keep_alive = self._serve_request(client, limits)
            finally:
                self.active_request_count_ -= 1
            if not keep_alive or not client.start_next_cycle():
                return

    def _may_close_idle(self, keep_until):
        """Return whether an idle connection is closed.

        :param keep_until: until when the client may send its first request, in monotonic seconds.
        """
        return self._should_close_idle and time.monotonic() >= keep_until

    def _serve_request(self, client, limits):
        """Read one request and send its response.

        :returns: whether the connection may carry another request.
        """
        try:
            now = time.monotonic()
            head = client.read_head(now + limits.header_timeout_ms / 1_000)
            if head is None:
                return False
            started_at = time.monotonic()
            body = client.read_body(limits.max_body_bytes, started_at + BODY_TIMEOUT_S)
        except MemoryLimitError:
            client.should_close_ = True
            self.gateway.metrics.count("refusals", RefusalReason.MEMORY_LIMIT)
            retry_after_ms = round(self.gateway.placement.rng.uniform(*MEMORY_LIMIT_RETRY_MS))
            self._send_rejection(
                client, STATUS_UNAVAILABLE, RefusalReason.MEMORY_LIMIT, retry_after_ms
            )
            return False
        except InvalidRequestError as error:
            log_event("request_invalid", status=error.status, reason=error)
            self.gateway.metrics.count("bad_input", str(error.status))
            client.should_close_ = True
            self._send_rejection(client, error.status, str(error))
            return False
        client.should_close_ = client.should_close_ or self.is_stopping_
        self._dispatch(client, head, body, started_at)
        return not client.should_close_

    def _dispatch(self, client, head, body, started_at):
        """Match the request to a route and a client account, then forward it or reject it."""
        gateway = self.gateway
        metadata = gateway.header_codec.decode_request_headers(head.headers)
        if self.is_for_peers and self.is_stopping_:
            self._reject_for_now(client, metadata, head, RefusalReason.STOPPING)
            return
        table = gateway.view.table_ or self._wait_for_table(metadata, started_at)
        if table is None:
            self._reject_for_now(client, metadata, head, RefusalReason.NO_CONFIGURATION)
            return
        route = table.match(head.host, head.path)
        if route is None:
            reason = RefusalReason.UNKNOWN_SERVICE
            self._reject_by_table(client, metadata, head, reason, STATUS_NOT_FOUND, "no route")
            return
        account = None
        if table.requires_keys and not route.allows_anonymous:
            account = table.find_account(metadata.api_key)
            if account is None:
                reason = RefusalReason.UNAUTHENTICATED
                text = "unknown key"
                self._reject_by_table(client, metadata, head, reason, STATUS_UNAUTHORIZED, text)
                return
        if self.is_stopping_ and not self._is_admitted_while_stopping(metadata, route, started_at):
            self._reject_while_stopping(client, metadata, head)
            return
        is_superseded = gateway.view.is_superseded(
            head.host, head.path, metadata.api_key, read_boot_time()
        )
        if is_superseded:
            self._reject_for_now(client, metadata, head, RefusalReason.STALE_VIEW)
            return
        max_upstreams = None
        if self.is_for_peers:
            head, max_upstreams = take_max_upstreams(head)
        RequestHandler(
            gateway, client, head, metadata, route, account, body, started_at, max_upstreams
        ).handle()

    def _is_admitted_while_stopping(self, metadata, route, started_at):
        """Return whether a request may still be passed on, as it ends before this process does."""
        wait_ms = DEFAULT_DEADLINE_MS if metadata.deadline_ms is None else metadata.deadline_ms
        deadline = started_at + min(wait_ms, route.timeout_ms) / MS_PER_S
        duration_s = self.gateway.durations.estimate(route.duration_kind)
        return self.stop_.admits(time.monotonic(), deadline, duration_s)

    def _reject_while_stopping(self, client, metadata, head):
        """Reject a request that another router can serve once the load balancer picks that."""
        removed_at = self.stop_.started_at + CLOSE_IDLE_AFTER_S
        wait_ms = max(0.0, removed_at - time.monotonic()) * MS_PER_S
        spread_ms = self.gateway.placement.rng.uniform(*STOPPING_RETRY_MS)
        self._reject_for_now(
            client, metadata, head, RefusalReason.STOPPING, round(wait_ms + spread_ms)
        )

    def _reject_by_table(self, client, metadata, head, reason, status, text):
        """Reject a request that the route table does not allow, unless the table may be outdated.

        Clients do not retry after such a rejection.
        """
        if self.gateway.view.may_be_outdated(read_boot_time()):
            self._reject_for_now(client, metadata, head, RefusalReason.STALE_VIEW)
            return
        self._record_rejection(metadata, head, reason)
        self._send_rejection(client, status, text)

    def _reject_for_now(self, client, metadata, head, reason, retry_after_ms=None):
        """Reject a request that this router or another one may be able to handle later.

        :param retry_after_ms: delay after which the client may retry, in milliseconds; a random one
            if omitted.
        """
        self._record_rejection(metadata, head, reason)
        if retry_after_ms is None:
            retry_after_ms = round(self.gateway.placement.rng.uniform(*NO_CONFIGURATION_RETRY_MS))
        self._send_rejection(client, STATUS_UNAVAILABLE, reason, retry_after_ms)

    def _wait_for_table(self, metadata, started_at):
        """Wait for the first configuration.

        :returns: the :class:`~sassafrashook.routes.RouteTable`, or ``None`` if there is none yet.
        """
        view = self.gateway.view
        wait_s = MAX_CONFIGURATION_WAIT_S
        if metadata.deadline_ms is not None:
            wait_s = min(wait_s, CONFIGURATION_WAIT_FRACTION * metadata.deadline_ms / 1_000)
        view.configured_.wait(max(0.0, started_at + wait_s - time.monotonic()))
        elapsed_ms = round((time.monotonic() - started_at) * 1_000)
        log_event(
            "request_held", request=metadata.request_id, reason=RefusalReason.NO_CONFIGURATION,
            ms=elapsed_ms, version=view.version,
        )  # fmt: skip
        return view.table_

    def _record_rejection(self, metadata, head, reason):
        view = self.gateway.view
        confirmed_s = read_boot_time() - view.age_.confirmed_at_
        self.gateway.metrics.count("refusals", reason)
        log_event(
            "request_rejected", request=metadata.request_id, host=head.host, path=head.path,
            reason=reason, version=view.version, newest=view.age_.newest_version_,
            confirmed_ms=round(confirmed_s * MS_PER_S) if math.isfinite(confirmed_s) else "-",
        )  # fmt: skip

    def _send_rejection(self, client, status, text, retry_after_ms=None):
        verdict = Verdict.NOT_RUN if self.is_for_peers else None
        try:
            send_text(client, status, text, retry_after_ms, verdict)
        except ClientDisconnectedError as error:
            log_event("rejection_not_sent", status=status, reason=error)


def _sleep_until(wake_at):
    gevent.sleep(max(0.0, wake_at - time.monotonic()))
