"""In-process stand-ins for the sources of decisions, and a small caller."""

import json
from collections import Counter
from contextlib import contextmanager

import gevent
from gevent import socket
from geventhttpclient import HTTPClient
from returns.result import Failure, Success

from fakes.engine import make_tokens
from sassafrashook.configuration import Configuration, FleetState, Service, WorkClass
from sassafrashook.gateways import ClaimSource, Permit, PermitSource, RetryRules
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
SOON_MS = 5_000


class Permits(PermitSource):
    """Grants permits for fixed addresses in turn, and checks that each returns exactly once."""

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
        """Offer an upstream, maybe through another port."""
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
        use_by = self.clock.monotonic() + self.use_ms / 1_000
        permit = Permit(self.turn, name, self.boot_ids[name], host, port, use_by, 5)
        self.held.add(permit.request_id)
        return Success(permit)

    def release(self, permit, outcome, first_token_ms=-1):
        self.held.remove(permit.request_id)
        self.outcomes.append(PermitOutcome(outcome))


class Claims(ClaimSource):
    """Keeps claims in a dictionary."""

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


class Retries(RetryRules):
    """Allows retries of what may be repeated and of what was not run."""

    def __init__(self):
        self.asked = []

    def note_request(self, account, now):
        pass

    def refuse_retry(self, account, upstream_id, verdict, repeatable, now):
        self.asked.append((upstream_id, verdict))
        allowed = repeatable or verdict is Verdict.NOT_RUN
        return None if allowed else RefusalReason.UPSTREAM_BROKE


class Router:
    """A served application with fake sources."""

    def __init__(self, clock=None, server=None, **limits):
        self.permits = Permits(clock)
        self.claims = Claims()
        self.retries = Retries()
        self.counts = Counter()
        self.reports = []
        self.context = ProxyContext(
            self.permits,
            self.claims,
            self.retries,
            lambda: FLEET,
            lambda name, attribute: self.counts.update([(name, str(attribute))]),
            clock,
            **{"probe_ms": 500, "progress_ms": 1_000, "first_byte_ms": 2_000, **limits},
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
    """Run a router before upstreams given as ``(service, fake)``; permits must all be back."""
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
    assert not router.permits.held, "permits were not given back"


def request(router, method, path, body=b"", key="caller-key", **fields):
    """Send one request; returns ``(status, headers, body)``."""
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
    """Return the body of a chat."""
    messages = [{"role": "user", "content": text}]
    return json.dumps({"messages": messages, "stream": stream, "max_tokens": count}).encode()


def expect_text(text, count=20):
    """Return the whole text of the answer to :func:`encode_chat`."""
    return "".join(make_tokens([{"role": "user", "content": text}], count))


def read_stream(data):
    """Return ``(text, ended, error)`` of a streamed answer, every event checked."""
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
    """Send bytes and return what comes until the router closes or the time is over."""
    with socket.create_connection(router.server.address, timeout=timeout_s) as sock:
        sock.sendall(data)
        received = b""
        try:
            while chunk := sock.recv(65_536):
                received += chunk
        except TimeoutError:
            pass
        return received
