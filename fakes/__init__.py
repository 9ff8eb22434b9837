"""Fake upstreams that announce themselves to routers, for tests, benchmarks and the demo.

The package also has what is needed to run a fleet around them: :mod:`fakes.fleet` starts the
processes, :mod:`fakes.load` sends requests and checks the responses, :mod:`fakes.fault_proxy`
injects network faults and :mod:`fakes.certificates` issues certificates.
"""

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

ANNOUNCEMENT_INTERVAL_S = 0.5
ANNOUNCEMENT_VALID_MS = 2_000
LOAD_REPORT_INTERVAL_S = 0.5


class FakeUpstream:
    """Base class of the fakes: a WSGI server on loopback that announces itself to routers.

    Subclasses implement ``respond(environ, start_response, path)``.

    :param upstream_id: id of the upstream.
    :param service: name of the service that it belongs to.
    :param zone: availability zone.
    :param port: port to listen on, 0 for any free port; the actual port once it listens.
    :param routers: ``host:port`` of routers; announcements are sent to them in turn.
    :param key: bearer key for requests to routers, or an empty string.
    :param announcement_fields: more fields of the announcement; they override the defaults.

    :ivar boot_id: random id of this start.
    :ivar incarnation: wall-clock time of this start, milliseconds since the epoch.
    :ivar sequence_: number of announcements made.
    :ivar is_leaving_: whether the announcements state that the upstream leaves.
    :ivar running_: number of requests whose handler is running.
    :ivar max_running_: highest value of ``running_``.
    :ivar counts_: event counts by name, served at ``/debug/records``.
    :ivar records_: what the subclass recorded, in order, served at ``/debug/records``.
    """

    kind = "plain"

    def __init__(
        self, upstream_id, service, zone, port=0, routers=(), key="", **announcement_fields
    ):
        self.upstream_id = upstream_id
        self.service = service
        self.zone = zone
        self.port = port
        self.routers = list(routers)
        self.key = key
        self.announcement_fields = announcement_fields
        self.boot_id = os.urandom(4).hex()
        self.incarnation = time.time_ns() // 1_000_000
        self.sequence_ = 0
        self.is_leaving_ = False
        self.running_ = 0
        self.max_running_ = 0
        self.counts_ = Counter()
        self.records_ = []
        self.pool_ = None
        self.server_ = None
        self.announcer_ = None

    def start(self):
        """Listen and start to send announcements."""
        self.pool_ = Pool(10_000)
        self.server_ = WSGIServer(
            ("127.0.0.1", self.port),
            self.handle_request,
            spawn=self.pool_,
            log=None,
            error_log=None,
        )
        self.server_.environ["SERVER_NAME"] = "127.0.0.1"
        self.server_.start()
        self.port = self.server_.address[1]
        self.announcer_ = gevent.spawn(self._announce_periodically)
        return self

    def stop(self):
        """Stop listening and abort all requests, as in a crash."""
        self.announcer_.kill()
        self.server_.stop(timeout=0)

    def stop_from_request(self):
        """Stop as in a crash, called by a request handler.

        The server kills the greenlets of all requests, so another greenlet has to stop it.
        """
        gevent.spawn(self.stop).join()

    def is_busy(self):
        """Return whether a request is running."""
        return self.running_ > 0

    def leave(self, timeout_s=30.0):
        """Announce the departure, wait for running requests to end, and stop.

        :param timeout_s: time after which requests that are still running are aborted, seconds.
        """
        self.is_leaving_ = True
        self.announce()
        deadline = time.monotonic() + timeout_s
        while self.is_busy() and time.monotonic() < deadline:
            gevent.sleep(0.02)
        self.stop()

    def make_announcement(self):
        """Return the fields of the next announcement."""
        self.sequence_ += 1
        return {
            "upstream_id": self.upstream_id,
            "kind": self.kind,
            "service": self.service,
            "host": "127.0.0.1",
            "port": self.port,
            "availability_zone": self.zone,
            "boot_id": self.boot_id,
            "sequence": self.sequence_,
            "incarnation": self.incarnation,
            "capacity": 8,
            "cold_capacity": 1,
            "valid_ms": ANNOUNCEMENT_VALID_MS,
            "leaving": self.is_leaving_,
            **self.announcement_fields,
        }

    def announce(self):
        """Send an announcement to the next router that accepts it."""
        for _ in self.routers:
            self.routers.append(self.routers.pop(0))
            if self.post_json(self.routers[0], "/v1/announcements", self.make_announcement()):
                return

    def post_json(self, router, path, fields):
        """Post a JSON object to a router.

        :param router: ``host:port`` of the router.
        :returns: whether the router accepted it.
        """
        host, port = router.rsplit(":", 1)
        client = HTTPClient(host, int(port), connection_timeout=1, network_timeout=1)
        headers = {"Content-Type": "application/json", "Authorization": f"Bearer {self.key}"}
        try:
            return client.post(path, json.dumps(fields), headers).status_code < 300
        except (OSError, ValueError):
            return False
        finally:
            client.close()

    def _announce_periodically(self):
        while True:
            self.announce()
            gevent.sleep(ANNOUNCEMENT_INTERVAL_S)

    def handle_request(self, environ, start_response):
        """Serve the health check and the records, and pass other requests to ``respond``."""
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return self.respond_json(environ, start_response, {"boot_id": self.boot_id})
        if path == "/debug/records":
            return self.respond_json(environ, start_response, self.describe())
        self.running_ += 1
        self.max_running_ = max(self.max_running_, self.running_)
        try:
            return self.respond(environ, start_response, path)
        finally:
            self.running_ -= 1

    def describe(self):
        """Return the fields of ``/debug/records``."""
        return {
            "upstream_id": self.upstream_id,
            "boot_id": self.boot_id,
            "running": self.running_,
            "max_running": self.max_running_,
            "counts": dict(self.counts_),
            "records": self.records_,
        }

    def make_headers(self, environ, *headers):
        """Return the headers that every response carries, followed by the given ones."""
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        return [("X-Request-Id", request_id), ("X-Boot-Id", self.boot_id), *headers]

    def respond_json(self, environ, start_response, fields, status="200 OK", *headers):
        """Respond with a JSON object.

        :returns: the body as a list of chunks.
        """
        content_type = ("Content-Type", "application/json")
        start_response(status, self.make_headers(environ, content_type, *headers))
        return [json.dumps(fields).encode()]


def run_fake(fake_class, options, **parameters):
    """Run a fake as a process until SIGTERM or SIGINT, then let it leave.

    Prints ``port=N`` once it listens.

    :param fake_class: a subclass of :class:`FakeUpstream`.
    :param options: the options returned by :func:`parse_options`.
    :param parameters: more parameters of the class.
    """
    common = {name: getattr(options, name) for name in ("capacity", "cold_capacity")}
    upstream = fake_class(
        options.id,
        options.service,
        options.zone,
        options.port,
        options.router,
        read_key(options.key_file),
        checks_fencing=options.checks_fencing,
        **common,
        **parameters,
    )
    upstream.start()
    print(f"port={upstream.port}", flush=True)
    stopped = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    stopped.wait()
    upstream.leave()


def read_key(path):
    """Return the first line of a key file, or an empty string if the path is empty."""
    if not path:
        return ""
    with open(path, encoding="ascii") as file:
        return file.readline().strip()


def parse_options(parser):
    """Add the options that all fakes share to a parser, and parse the command line."""
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
