"""Accepts clients and serves their requests until told to stop."""

import time

import gevent
from absl import logging
from gevent.server import StreamServer

from sassafrashook.gateway._answers import STATUS_UNAVAILABLE, send_text
from sassafrashook.gateway._request import RequestRun
from sassafrashook.http1 import ClientGoneError, HttpError, ServerConnection
from sassafrashook.outcomes import RefusalReason
from sassafrashook.telemetry import log_event

BACKLOG = 1_024
SEND_TIMEOUT_S = 10.0  # a client that takes no byte this long is gone
BODY_TIMEOUT_S = 10.0
POLL_S = 0.05
CLOSE_IDLE_S = 2.2  # the balancer asks each second and drops a node at its second miss
STOP_ACCEPTING_S = 3.5
NO_STATE_RETRY_MS = (400, 800)  # a restart of the whole fleet takes about a second; spread
STATE_WAIT_SHARE = 0.25  # of a request's time that it may wait for the first configuration ...
MAX_STATE_WAIT_S = 0.5  # ... which a restarted router has within this time of a controller's
STATUS_NOT_FOUND = 404
STATUS_UNAUTHENTICATED = 401


class GatewayServer:
    """Serves clients.

    :param gateway: the :class:`~sassafrashook.gateway.Gateway`.
    :param host: IP number to listen on.
    :param port: port, 0 for any free one.

    :ivar busy_: number of requests that are being served.
    :ivar is_stopping_: whether a stop was announced.
    """

    def __init__(self, gateway, host, port):
        self.gateway = gateway
        self.host = host
        self.port = port
        self.busy_ = 0
        self.is_stopping_ = False
        self.server_ = None
        self._closes_idle = False

    def start(self):
        """Listen and serve.

        :raises OSError: if the address can't be used.
        """
        self.server_ = StreamServer((self.host, self.port), self._serve, backlog=BACKLOG)
        self.server_.start()
        self.port = self.server_.server_port

    def stop(self, deadline):
        """Stop: serve what has begun or still arrives, then close.

        :param deadline: monotonic seconds; requests still running then are cut.
        :returns: how many requests were cut.
        """
        started = time.monotonic()
        self.is_stopping_ = True
        _sleep_until(min(deadline, started + CLOSE_IDLE_S))
        self._closes_idle = True
        _sleep_until(min(deadline, started + STOP_ACCEPTING_S))
        self.server_.stop_accepting()
        while self.busy_ and time.monotonic() < deadline:
            gevent.sleep(POLL_S)
        self.server_.close()
        return self.busy_

    def _serve(self, sock, _address):
        limits = self.gateway.client_limits()
        client = ServerConnection(sock, limits.max_header_bytes, SEND_TIMEOUT_S)
        try:
            self._serve_requests(client)
        except ClientGoneError:
            client.abort()
        except Exception:
            logging.exception("event=request_handler_failed")
            client.abort()
        else:
            client.close()

    def _serve_requests(self, client):
        while True:
            limits = self.gateway.client_limits()
            idle_until = time.monotonic() + limits.idle_timeout_ms / 1_000
            if not client.wait_for_request(idle_until, lambda: self._closes_idle):
                return
            self.busy_ += 1
            try:
                goes_on = self._serve_one(client, limits)
            finally:
                self.busy_ -= 1
            if not goes_on or not client.next_cycle():
                return

    def _serve_one(self, client, limits):
        """Serve one request; :returns: whether the connection may carry another one."""
        try:
            now = time.monotonic()
            head = client.read_head(now + limits.header_timeout_ms / 1_000)
            if head is None:
                return False
            started = time.monotonic()
            body = client.read_body(limits.max_body_bytes, started + BODY_TIMEOUT_S)
        except HttpError as error:
            log_event("request_unreadable", status=error.status, reason=error)
            self.gateway.metrics.count("bad_input", str(error.status))
            client.closing_ = True
            self._reject(client, error.status, str(error))
            return False
        client.closing_ = client.closing_ or self.is_stopping_
        self._dispatch(client, head, body, started)
        return not client.closing_

    def _dispatch(self, client, head, body, started):
        gateway = self.gateway
        facts = gateway.dialect.read_request(head.headers)
        table = gateway.view.table_ or self._await_table(facts, started)
        if table is None:
            self._log_rejection(facts, head, RefusalReason.NO_CONFIGURATION, 0)
            text = "no configuration is known"
            retry_ms = round(gateway.placement.rng.uniform(*NO_STATE_RETRY_MS))
            self._reject(client, STATUS_UNAVAILABLE, text, retry_ms)
            return
        route = table.match(head.host, head.path)
        if route is None:
            self._log_rejection(facts, head, RefusalReason.UNKNOWN_SERVICE, table.version)
            self._reject(client, STATUS_NOT_FOUND, "no route")
            return
        account = None
        if table.needs_keys and not route.is_anonymous:
            account = table.find_account(facts.key)
            if account is None:
                self._log_rejection(facts, head, RefusalReason.UNAUTHENTICATED, table.version)
                self._reject(client, STATUS_UNAUTHENTICATED, "unknown key")
                return
        RequestRun(gateway, client, head, facts, route, account, body, started).execute()

    def _await_table(self, facts, started):
        """Wait a moment for the first configuration; :returns: the table, ``None`` without it."""
        view = self.gateway.view
        wait_s = MAX_STATE_WAIT_S
        if facts.deadline_ms is not None:
            wait_s = min(wait_s, STATE_WAIT_SHARE * facts.deadline_ms / 1_000)
        view.configured_.wait(max(0.0, started + wait_s - time.monotonic()))
        held_ms = round((time.monotonic() - started) * 1_000)
        log_event(
            "request_held", request=facts.request_id, reason=RefusalReason.NO_CONFIGURATION,
            ms=held_ms, version=view.version,
        )  # fmt: skip
        return view.table_

    def _log_rejection(self, facts, head, reason, version):
        self.gateway.metrics.count("refusals", reason)
        log_event(
            "request_rejected", request=facts.request_id, host=head.host, path=head.path,
            reason=reason, version=version,
        )  # fmt: skip

    def _reject(self, client, status, text, retry_after_ms=None):
        try:
            send_text(client, status, text, retry_after_ms)
        except ClientGoneError as error:
            log_event("rejection_not_sent", status=status, reason=error)


def _sleep_until(moment):
    gevent.sleep(max(0.0, moment - time.monotonic()))
