"""A fake ledger that records the idempotency key of each order and counts its executions."""

import argparse
import hashlib
from collections import Counter

import gevent

from fakes import FakeUpstream, parse_options, run_fake


class FakeLedger(FakeUpstream):
    """A plain service whose orders must run at most once.

    It executes every order that it receives, repeated ones too, so that ``executions_`` shows them.

    :param delay_s: time from the execution of an order to its response, seconds.
    :param close_before_answer: whether the connection is closed after an order was executed,
        without a response.
    :param options: parameters of :class:`~fakes.FakeUpstream`; with ``crash_before_answer`` the
        ledger crashes after an order was executed, before it responds.

    :ivar executions_: number of executions by idempotency key.
    """

    def __init__(self, *args, delay_s=0.0, close_before_answer=False, **options):
        self.crash_before_answer = options.pop("crash_before_answer", False)
        super().__init__(*args, **options)
        self.delay_s = delay_s
        self.close_before_answer = close_before_answer
        self.executions_ = Counter()

    def describe(self):
        """Return the fields of ``/debug/records``."""
        return {**super().describe(), "executions": dict(self.executions_)}

    def respond(self, environ, start_response, path):
        """Execute an order, look up its outcome, or serve another read."""
        key = path.rsplit("/", 1)[1]
        if environ["REQUEST_METHOD"] == "GET" and "/outcomes/" in path:
            return self._look_up_outcome(environ, start_response, key)
        if environ["REQUEST_METHOD"] == "GET":
            self.counts_["reads"] += 1
            return self.respond_json(environ, start_response, {"path": path})
        size = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(size)
        return self._execute_order(environ, start_response, body)

    def _execute_order(self, environ, start_response, body):
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        self.executions_[key] += 1
        self.records_.append(key)
        gevent.sleep(self.delay_s)
        if self.crash_before_answer:
            self.stop_from_request()
        if self.close_before_answer:
            raise ConnectionResetError(104, "connection closed before the response")
        receipt = hashlib.sha256(body).hexdigest()[:12]
        fields = {"key": key, "receipt": receipt}
        return self.respond_json(environ, start_response, fields, "201 Created")

    def _look_up_outcome(self, environ, start_response, key):
        self.counts_["lookups"] += 1
        if not self.executions_[key]:
            return self.respond_json(environ, start_response, {}, "404 Not Found")
        outcome = ("X-Outcome", "ran")
        return self.respond_json(environ, start_response, {"key": key}, "200 OK", outcome)


def main():
    """Run a fake ledger as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--delay-ms", type=float, default=0.0)
    parser.add_argument("--close-before-answer", action="store_true")
    options = parse_options(parser)
    run_fake(
        FakeLedger,
        options,
        delay_s=options.delay_ms / 1_000,
        close_before_answer=options.close_before_answer,
    )


if __name__ == "__main__":
    main()
