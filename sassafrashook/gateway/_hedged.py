"""Executes a slow request at a second upstream beside the first."""

import time
from dataclasses import dataclass

import gevent
from gevent.event import Event

from sassafrashook.gateway._attempt import AttemptError


@dataclass(slots=True, frozen=True)
class HedgedResponse:
    """The whole response of one of the attempts.

    :param attempt: the :class:`~sassafrashook.gateway._attempt.Attempt`.
    :param began_at: when it began, in monotonic seconds.
    :param head: the :class:`~sassafrashook.http1.ResponseHead`.
    :param body: the whole body.
    """

    attempt: object
    began_at: float
    head: object
    body: bytes


class HedgedExchange:
    """Attempts a request at one upstream, and at a second one once the first has taken too long.

    The first whole response wins. The connection of the other attempt is closed, which makes its
    upstream cancel the request.

    :param handler: the :class:`~sassafrashook.gateway._request.RequestHandler`; the request may run
        more than once and its response is not a stream.
    :param choose_second: called without arguments after the delay; returns the
        :class:`~sassafrashook.placement.UpstreamState` of the second attempt, or ``None``.
    :param delay_s: time after which the second attempt begins, in seconds.

    :ivar running_: the running attempts, by their task.
    """

    __slots__ = ("handler", "choose_second", "delay_s", "running_", "_has_ended", "_errors")

    def __init__(self, handler, choose_second, delay_s):
        self.handler = handler
        self.choose_second = choose_second
        self.delay_s = delay_s
        self.running_ = {}
        self._has_ended = Event()
        self._errors = []

    def run(self, upstream):
        """Run the attempts.

        :param upstream: :class:`~sassafrashook.placement.UpstreamState` of the first attempt.
        :returns: a :class:`HedgedResponse`.
        :raises AttemptError: of the attempt that failed last if all have failed.
        """
        self._start(upstream)
        try:
            if not self._has_ended.wait(self.delay_s):
                second = self.choose_second()
                if second is not None:
                    self._start(second)
            while True:
                self._has_ended.wait()
                self._has_ended.clear()
                response = self._take_response()
                if response is not None:
                    if response.attempt.upstream is not upstream:
                        self.handler.gateway.metrics.count("second_attempts", "won")
                    return response
                if not self.running_:
                    raise self._errors[-1]
        finally:
            self._cancel()

    def abort(self):
        """Abort all attempts; :returns: whether a connection was in use."""
        aborted = [attempt.abort() for attempt in self.running_.values()]
        return any(aborted)

    def abort_at(self, upstream):
        """Abort the attempts at an upstream; :returns: whether a connection was in use."""
        aborted = [attempt.abort_at(upstream) for attempt in self.running_.values()]
        return any(aborted)

    def _start(self, upstream):
        attempt = self.handler.make_attempt(upstream)
        self.running_[gevent.spawn(self._run_attempt, attempt)] = attempt

    def _run_attempt(self, attempt):
        """Run one attempt; :returns: a :class:`HedgedResponse`, or the :class:`AttemptError`."""
        upstream, began_at = attempt.upstream, time.monotonic()
        upstream.running_ += 1
        try:
            head = attempt.start()
            body = attempt.read_body()
            attempt.finish()
            return HedgedResponse(attempt, began_at, head, body)
        except AttemptError as error:
            self.handler.record_failure(upstream, error, began_at)
            self.handler.gateway.results.record_attempt(attempt, began_at, error)
            return error
        finally:
            # A cancelled attempt counts with the time that it has taken: without the slow attempts,
            # the recent durations would become ever shorter.
            self.handler.record_duration(began_at)
            upstream.running_ -= 1
            attempt.close()
            self._has_ended.set()

    def _take_response(self):
        """Return the response of an attempt that has ended, or ``None``; collect the errors."""
        for task in [task for task in self.running_ if task.ready()]:
            del self.running_[task]
            result = task.get()
            if isinstance(result, HedgedResponse):
                return result
            self._errors.append(result)
        return None

    def _cancel(self):
        """End the attempts that still run."""
        tasks = list(self.running_)
        self.running_ = {}
        self.handler.execution_count_ += len(tasks)  # they may have run the request
        gevent.killall(tasks, block=False)
