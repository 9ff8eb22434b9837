"""Fakes of the permit, claim and retry interfaces, and an HTTP client for tests."""

import json
from collections import Counter
from contextlib import contextmanager

import gevent
from gevent import socket
from geventhttpclient import HTTPClient
from returns.result import Failure, Success

from fakes.engine import make_tokens
from sassafrashook.configuration import Configuration, FleetState, Service, WorkClass
from sassafrashook.interfaces import ClaimSource, Permit, PermitSource, RetryPolicy
from sassafrashook.messages import ClaimDecided, ClaimStatus, PermitOutcome
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy import CallerApplication, CallerServer, ProxyContext, SystemClock

CLASSES = [WorkClass(name="default", waiting_ms=2_000, completion_ms=10_000)]
SERVICES = [
    Service(name="assistant", kind="engine"),
    Service(name="ledger", kind="plain", path_prefix="/ledger", lookup_path=""),
    Service(name="booking", kind="plain", path_prefix="/booking", lookup_path="/booking/outcomes"),
]
FLEET = FleetState(revision=1, configuration=Configuration(classes=CLASSES, services=SERVICES))
DEADLINE_MS = 5_000


class FakePermitSource(PermitSource):
    """Grants permits round-robin and fails if one is released twice.

    :param use_ms: milliseconds within which the first byte must be sent.
    """

    def __init__(self, clock=None, use_ms=5_000):
        self.clock = clock or SystemClock()
        self.use_ms = use_ms
        self.addresses = {}
        self.boot_ids = {}
        self.queries = []
        self.held = set()
        self.outcomes = []
        self.refusal = None
        self.turn = 0

    def add(self, service, upstream, port=None):
        """Add an upstream of a service, optionally at the port of a proxy before it."""
        address = (upstream.upstream_id, "127.0.0.1", port or upstream.port)
        self.addresses.setdefault(service, []).append(address)
        self.boot_ids[upstream.upstream_id] = upstream.boot_id

    def acquire(self, query, deadline):
        self.queries.append(query)
        if self.refusal is not None:
            return Failure(self.refusal)
        choices = [a for a in self.addresses.get(query.service, []) if a[0] not in query.tried]
        if not choices:
            return Failure(Refusal(Verdict.NOT_RUN, RefusalReason.NO_UPSTREAM, 500))
        preferred = [a for a in choices if a[0] == query.preferred]
        self.turn += 1
        name, host, port = preferred[0] if preferred else choices[self.turn % len(choices)]
        send_deadline = self.clock.monotonic() + self.use_ms / 1_000
        permit = Permit(self.turn, name, self.boot_ids[name], host, port, send_deadline, 5)
        self.held.add(permit.request_id)
        return Success(permit)

    def release(self, permit, outcome, first_token_ms=-1):
        self.held.remove(permit.request_id)
        self.outcomes.append(PermitOutcome(outcome))


class FakeClaimSource(ClaimSource):
    """Stores claims in a dictionary.

    :ivar status: status returned for every claim, or ``None`` to decide by the stored claims.
    :ivar delay_s: seconds before a decision.
    """

    def __init__(self):
        self.claims = {}
        self.records = {}
        self.status = None
        self.delay_s = 0.0

    def claim(self, request, deadline):
        gevent.sleep(self.delay_s)
        if self.status is not None:
            return ClaimDecided(0, self.status)
        key = (request.account, request.service, request.key)
        attempt, digest = self.claims.setdefault(key, (request.attempt, request.digest))
        if digest != request.digest:
            return ClaimDecided(0, ClaimStatus.CONFLICT)
        if key in self.records:
            return ClaimDecided(0, ClaimStatus.RECORDED, self.records[key])
        granted = attempt == request.attempt
        return ClaimDecided(0, ClaimStatus.GRANTED if granted else ClaimStatus.RUNNING)

    def complete(self, completion, deadline):
        key = (completion.account, completion.service, completion.key)
        if self.claims.get(key, ("",))[0] != completion.attempt:
            return False
        assert key not in self.records, "a claim was completed twice"
        self.records[key] = completion.answer
        return True


class FakeRetryRules(RetryPolicy):
    """Allows retries of repeatable requests and of requests that were not run."""

    def __init__(self):
        self.asked = []

    def note_request(self, account, now):
        pass

    def check_retry(self, account, upstream_id, verdict, repeatable, now):
        self.asked.append((upstream_id, verdict))
        allowed = repeatable or verdict is Verdict.NOT_RUN
        return None if allowed else RefusalReason.UPSTREAM_BROKE


class Router:
    """Served application with fake permits, claims and retry rules."""

    def __init__(self, clock=None, server=None, **limits):
        self.permits = FakePermitSource(clock)
        self.claims = FakeClaimSource()
        self.retries = FakeRetryRules()
        self.counts = Counter()
        self.reports = []
        self.context = ProxyContext(
            self.permits,
            self.claims,
            self.retries,
            lambda: FLEET,
            lambda name, attribute: self.counts.update([(name, str(attribute))]),
            clock,
            **{"probe_timeout_ms": 500, "progress_ms": 1_000, "first_byte_ms": 2_000, **limits},
        )
        self.application = CallerApplication(
            self.context,
            accounts={"caller-key": "shop"},
            upstream_keys={"upstream-key"},
            on_announcement=self.reports.append,
            on_load_report=self.reports.append,
            on_cache_event=self.reports.append,
        )
        self.server = CallerServer(self.application, **{"notice_ms": 0, **(server or {})})


@contextmanager
def serve(*upstreams, clock=None, server=None, **limits):
    """Run a router with upstreams given as ``(service, fake)``.

    Afterwards all permits must have been released.
    """
    router = Router(clock, server, **limits)
    try:
        for service, upstream in upstreams:
            upstream.start()
            router.permits.add(service, upstream)
        router.server.start()
        yield router
    finally:
        router.server.stop(router.context.clock.monotonic() + 5)
        for _, upstream in upstreams:
            upstream.stop()
    assert not router.permits.held, "permits were not released"


def request(router, method, path, body=b"", key="caller-key", **fields):
    """Send one request and return ``(status, headers, body)``."""
    host, port = router.server.address
    client = HTTPClient(host, port, connection_timeout=5, network_timeout=20)
    headers = {"Authorization": f"Bearer {key}"}
    headers |= {name.replace("_", "-"): str(value) for name, value in fields.items()}
    try:
        response = client.request(method, path, body, headers)
        data = bytes(response.read())
        return response.status_code, response.info(), data
    finally:
        client.close()


def encode_chat(text, stream=True, count=20):
    """Return the body of a chat request.

    :param count: number of tokens to generate.
    """
    messages = [{"role": "user", "content": text}]
    return json.dumps({"messages": messages, "stream": stream, "max_tokens": count}).encode()


def expected_text(text, count=20):
    """Return the complete text that answers a request of :func:`encode_chat`."""
    return "".join(make_tokens([{"role": "user", "content": text}], count))


def read_stream(data):
    """Parse a streamed response and return ``(text, ended, error)``.

    It fails on malformed events and on events after the end marker.
    """
    texts = []
    ended = False
    error = None
    for event in data.decode().split("\n\n")[:-1]:
        assert not ended, "an event after the end marker"
        if event.startswith("event: error\n"):
            error = json.loads(event.split("data: ", 1)[1])["error"]
        elif event == "data: [DONE]":
            ended = True
        elif not event.startswith(":"):
            texts.append(json.loads(event.removeprefix("data: "))["choices"][0]["delta"]["content"])
    return "".join(texts), ended, error


def send_raw(router, data, timeout_s=5.0):
    """Send bytes and return what is received until the router closes or the timeout expires."""
    with socket.create_connection(router.server.address, timeout=timeout_s) as sock:
        sock.sendall(data)
        received = b""
        try:
            while chunk := sock.recv(65_536):
                received += chunk
        except TimeoutError:
            pass
        return received
