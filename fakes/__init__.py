"""Small stand-ins for the systems that a router serves, for tests, measurements and the demo."""

import json
import os
import signal
import time
from collections import Counter

import gevent
import gevent.event
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient

ANNOUNCE_S = 0.5
VALID_MS = 2_000
REPORT_S = 0.5


class FakeUpstream:
    """Base of the fakes: a WSGI server that announces itself to routers.

    :param routers: ``host:port`` of routers; each announcement goes to the next one.
    :param key: bearer key of upstreams, or empty.
    :param options: further fields of the announcement.

    Attributes: ``counts``, what was counted; ``records``, what was recorded in order.
    """

    kind = "plain"

    def __init__(self, upstream_id, service, zone, port=0, routers=(), key="", **options):
        self.upstream_id = upstream_id
        self.service = service
        self.zone = zone
        self.port = port
        self.routers = list(routers)
        self.key = key
        self.options = options
        self.boot_id = os.urandom(4).hex()
        self.incarnation = time.time_ns() // 1_000_000
        self.sequence = 0
        self.leaving = False
        self.running = 0
        self.max_running = 0
        self.counts = Counter()
        self.records = []
        self.pool = None
        self.server = None
        self.announcer = None

    def start(self):
        """Listen and begin to announce."""
        self.pool = Pool(10_000)
        self.server = WSGIServer(
            ("127.0.0.1", self.port), self.serve, spawn=self.pool, log=None, error_log=None
        )
        self.server.environ["SERVER_NAME"] = "127.0.0.1"
        self.server.start()
        self.port = self.server.address[1]
        self.announcer = gevent.spawn(self._announce_forever)
        return self

    def stop(self):
        """Close at once, as a crash would."""
        self.announcer.kill()
        self.server.stop(timeout=0)

    def fall_over(self):
        """Close everything from within a request."""
        gevent.spawn(self.stop).join()

    def is_busy(self):
        """Return whether a request is running."""
        return self.running > 0

    def leave(self, timeout_s=30.0):
        """Announce to leave, let requests end, and stop."""
        self.leaving = True
        self.announce()
        deadline = time.monotonic() + timeout_s
        while self.is_busy() and time.monotonic() < deadline:
            gevent.sleep(0.02)
        self.stop()

    def announcement(self):
        """Return the fields of the next announcement."""
        self.sequence += 1
        return {
            "upstream_id": self.upstream_id,
            "kind": self.kind,
            "service": self.service,
            "host": "127.0.0.1",
            "port": self.port,
            "availability_zone": self.zone,
            "boot_id": self.boot_id,
            "sequence": self.sequence,
            "incarnation": self.incarnation,
            "capacity": 8,
            "cold_capacity": 1,
            "valid_ms": VALID_MS,
            "leaving": self.leaving,
            **self.options,
        }

    def announce(self):
        """Tell the next router that answers."""
        for _ in self.routers:
            self.routers.append(self.routers.pop(0))
            if self.post(self.routers[0], "/v1/announcements", self.announcement()):
                return

    def post(self, router, path, fields):
        """Post one JSON object to a router; returns whether it was taken."""
        host, port = router.rsplit(":", 1)
        client = HTTPClient(host, int(port), connection_timeout=1, network_timeout=1)
        headers = {"Content-Type": "application/json", "Authorization": f"Bearer {self.key}"}
        try:
            return client.post(path, json.dumps(fields), headers).status_code < 300
        except (OSError, ValueError):
            return False
        finally:
            client.close()

    def _announce_forever(self):
        while True:
            self.announce()
            gevent.sleep(ANNOUNCE_S)

    def serve(self, environ, start_response):
        """Serve what all fakes have in common, and hand the rest to :meth:`respond`."""
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return self.answer(environ, start_response, {"boot_id": self.boot_id})
        if path == "/debug/records":
            return self.answer(environ, start_response, self.describe())
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            return self.respond(environ, start_response, path)
        finally:
            self.running -= 1

    def describe(self):
        """Return what this fake counted."""
        return {
            "upstream_id": self.upstream_id,
            "boot_id": self.boot_id,
            "running": self.running,
            "max_running": self.max_running,
            "counts": dict(self.counts),
            "records": self.records,
        }

    def headers(self, environ, *more):
        """Return the headers that every answer carries."""
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        return [("X-Request-Id", request_id), ("X-Boot-Id", self.boot_id), *more]

    def answer(self, environ, start_response, fields, status="200 OK", *more):
        """Answer with a JSON object."""
        content_type = ("Content-Type", "application/json")
        start_response(status, self.headers(environ, content_type, *more))
        return [json.dumps(fields).encode()]


def run_fake(kind, options, **more):
    """Run a fake as a process until SIGTERM; it prints ``port=N`` once it listens.

    :param kind: class of the fake.
    :param options: what :func:`parse_options` returned.
    :param more: further parameters of the class.
    """
    common = {name: getattr(options, name) for name in ("capacity", "cold_capacity")}
    upstream = kind(
        options.id,
        options.service,
        options.zone,
        options.port,
        options.router,
        read_key(options.key_file),
        checks_fencing=options.checks_fencing,
        **common,
        **more,
    )
    upstream.start()
    print(f"port={upstream.port}", flush=True)
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    stopped.wait()
    upstream.leave()


def read_key(path):
    """Return the first line of a key file, or an empty string without one."""
    if not path:
        return ""
    with open(path, encoding="ascii") as file:
        return file.readline().strip()


def parse_options(parser):
    """Add the options that all fakes share, and parse the command line."""
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--router", action="append", default=[])
    parser.add_argument("--key-file", default="")
    parser.add_argument("--capacity", type=int, default=8)
    parser.add_argument("--cold-capacity", type=int, default=2)
    parser.add_argument("--checks-fencing", action="store_true")
    return parser.parse_args()
