"""One attempt of a request at one upstream."""

import time
from dataclasses import dataclass
from enum import StrEnum

from sassafrashook.gateway._dialect import Forwarding
from sassafrashook.http1 import IncompleteError
from sassafrashook.outcomes import Verdict

MAX_IDLE_S = 20.0  # idle connections are reused as long as the upstream keeps them
MAX_IDLE_ONCE_S = 0.5  # for requests that run once: a close that crosses the request loses it
MIN_DEADLINE_MS = 1
MIN_CONNECT_S = 0.001  # a timeout of 0 would not wait at all


class FailureKind(StrEnum):
    """Why an attempt failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    SILENT = "silent"
    UNSIGNED = "unsigned"
    FAILED = "failed"
    CLIENT_GONE = "client_gone"


class AttemptError(Exception):
    """An attempt failed.

    :param kind: a :class:`FailureKind`.
    :param verdict: whether the request may have run.
    :param answer: the upstream's own failure, an :class:`Answer`, or ``None``.
    """

    def __init__(self, kind, verdict, detail="", answer=None):
        super().__init__(detail)
        self.kind = kind
        self.verdict = verdict
        self.answer = answer


@dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer of an upstream."""

    head: object
    body: bytes


class Attempt:
    """Sends a request to an upstream and reads the answer.

    :param request: the :class:`~sassafrashook.gateway._request.RequestRun`.
    :param upstream: the chosen :class:`~sassafrashook.placement.UpstreamState`.
    :param source: one that holds a part of the prompt that the chosen one lacks, or ``None``.

    :ivar connection_: the connection while it is in use.
    """

    __slots__ = ("request", "upstream", "source", "connection_", "head_", "facts_", "is_reused_")

    def __init__(self, request, upstream, source):
        self.request = request
        self.upstream = upstream
        self.source = source
        self.connection_ = None
        self.head_ = None
        self.facts_ = None
        self.is_reused_ = False

    def begin(self):
        """Connect, send and read the head of the answer.

        :returns: the :class:`~sassafrashook.http1.ResponseHead` of a success.
        :raises AttemptError: otherwise.
        """
        self._connect()
        self._send()
        self.head_ = self._read_head()
        facts = self.facts_
        if facts.load is not None:
            self.upstream.note_report(*facts.load, time.monotonic())
        if facts.has_not_run:
            self._finish_quietly()
            if facts.is_misdirected:
                self.upstream.is_replaced_ = True
            kind = FailureKind.MISDIRECTED if facts.is_misdirected else FailureKind.REFUSED
            raise AttemptError(kind, Verdict.NOT_RUN, f"status {self.head_.status}")
        if self.head_.status >= 300:
            answer = Answer(self.head_, self.read_whole())
            self.finish()
            raise AttemptError(FailureKind.FAILED, Verdict.RAN, f"{answer.head.status}", answer)
        if not facts.is_signed:
            raise self._fail(FailureKind.UNSIGNED, "a success without a signature")
        return self.head_

    def _connect(self):
        request = self.request
        pool = request.gateway.pool
        max_idle_s = MAX_IDLE_S if request.route.is_idempotent else MAX_IDLE_ONCE_S
        connection = pool.take(self.upstream.key, max_idle_s)
        self.is_reused_ = connection is not None
        if connection is None:
            left = request.deadline - time.monotonic()
            try:
                connection = pool.open(self.upstream.entry.address, max(left, MIN_CONNECT_S))
            except OSError as error:
                self.upstream.note_unreachable(time.monotonic())
                pool.drop(self.upstream.key)
                raise AttemptError(FailureKind.UNREACHABLE, Verdict.NOT_RUN, str(error)) from error
        self.connection_ = connection
        if request.client.gone_:
            raise AttemptError(FailureKind.CLIENT_GONE, Verdict.NOT_RUN)

    def _send(self):
        request = self.request
        left_ms = (request.deadline - time.monotonic()) * 1_000
        if left_ms < MIN_DEADLINE_MS:
            self.close()
            raise AttemptError(FailureKind.TIMEOUT, Verdict.NOT_RUN, "deadline passed before send")
        forwarding = Forwarding(
            self.upstream.entry.upstream_id,
            left_ms,
            request.account.name if request.account is not None else None,
            request.priority,
            request.last_event_id,
            self.source.entry.address if self.source is not None else None,
        )
        fields = request.gateway.dialect.encode_forwarded(request.head.headers, forwarding)
        head = request.head
        try:
            self.connection_.send_request(head.method, head.target, fields, request.body)
        except OSError as error:
            raise self._fail(FailureKind.BROKEN, str(error)) from error

    def _read_head(self):
        return self._wait(
            lambda until: self.connection_.read_head(self._is_awaited, until),
            self.request.head_patience_s,
        )

    def _wait(self, read, patience_s):
        """Read with the request's deadline; sooner, where the request may go on elsewhere.

        :param read: called with the time until which it may wait, monotonic seconds.
        :param patience_s: silence after which another upstream is worth a retry.
        """
        until = min(self.request.deadline, time.monotonic() + patience_s)
        while True:
            try:
                return read(until)
            except IncompleteError as error:
                raise self._fail(FailureKind.BROKEN, str(error)) from error
            except TimeoutError as error:
                if until >= self.request.deadline:
                    raise self._fail(FailureKind.TIMEOUT, str(error)) from error
                if self.request.may_leave():
                    raise self._fail(FailureKind.SILENT, f"silent for {patience_s} s") from error
                until = self.request.deadline

    def _is_awaited(self, head):
        """Read what the answer says, and return whether it is that to this request."""
        self.facts_ = self.request.gateway.dialect.read_answer(head)
        return self.facts_.request_id in ("", self.request.facts.request_id)

    def read_data(self):
        """Read a part of the body, ``None`` at its end.

        :raises AttemptError: if it ended early or not in time.
        """
        data = self._wait(self.connection_.read_data, self.request.data_patience_s)
        self.upstream.heard_at_ = time.monotonic()
        return data

    def read_whole(self):
        """Read the whole body; see :meth:`read_data`."""
        parts = []
        while (data := self.read_data()) is not None:
            parts.append(data)
        return b"".join(parts)

    def _fail(self, kind, detail):
        """Close the connection, which stops the upstream's work, and return the error."""
        if self.request.client.gone_:
            kind = FailureKind.CLIENT_GONE
        elif kind is FailureKind.SILENT or (kind is FailureKind.BROKEN and not self.is_reused_):
            self.upstream.note_broken()
        self.close()
        return AttemptError(kind, Verdict.MAY_HAVE_RUN, detail)

    def _finish_quietly(self):
        """Read the rest of a refusal, so that the connection can be used again."""
        try:
            self.read_whole()
        except AttemptError:
            return  # the refusal itself has arrived; the connection is closed already
        self.finish()

    def abort(self):
        """End the exchange from another task; whoever reads sees it break.

        :returns: whether one was under way.
        """
        if self.connection_ is None:
            return False
        self.connection_.abort()
        return True

    def finish(self):
        """Give the connection back after a complete answer."""
        connection, self.connection_ = self.connection_, None
        if connection is not None:
            self.request.gateway.pool.put(self.upstream.key, connection, self.head_)

    def close(self):
        """Close the connection, if it is still in use."""
        connection, self.connection_ = self.connection_, None
        if connection is not None:
            connection.close()
