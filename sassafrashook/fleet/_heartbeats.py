"""Questions of routers to controllers when an upstream was last heard.

Heartbeats that change nothing are not sent to routers. A router asks for those of the upstreams
that may have restarted, or lost their address to another one, since it last knew of them.
"""

import random
import time

from sassafrashook.fleet._messages import HeardUpstream, HeartbeatsKnown, HeartbeatsRequested

HEARTBEAT_TTL_S = 5.0  # older heartbeats are not told; an upstream sends one every 1.2 s
MAX_HEARD_UPSTREAMS = 100_000
MAX_ASKED_UPSTREAMS = 16  # in one message; others are asked for in the next ones
REQUEST_INTERVAL_S = 0.5
# With more routers, each asks less often. An answer takes up to 0.55 KB, so that each controller
# sends at most 0.11 MB/s of them.
ROUTERS_PER_INTERVAL = 100
MS_PER_S = 1_000


class HeartbeatLog:
    """When this controller itself received the last heartbeat of each upstream.

    Those of other controllers are left out: they may have been held up on the way.

    :param mesh: a :class:`~sassafrashook.transport.Mesh`.

    >>> from sassafrashook.registry import Registration, RegistrationState
    >>> log = HeartbeatLog(mesh=None)
    >>> log.record(Registration("a", 5, 1, RegistrationState.READY), now=1.0)
    >>> log.list_heard(["a", "b"], now=1.5)
    [HeardUpstream(upstream_id='a', boot_ms=5, age_ms=500.0)]
    """

    handled_messages = (HeartbeatsRequested,)

    def __init__(self, mesh):
        self.mesh = mesh
        self._heard = {}

    def record(self, registration, now):
        """Record a heartbeat received from its upstream, unless a newer one is known.

        :param registration: a :class:`~sassafrashook.registry.Registration`.
        :param now: monotonic seconds.
        """
        order = (registration.boot_ms, registration.sequence)
        name = registration.upstream_id
        known = self._heard.get(name)
        if known is None and len(self._heard) >= MAX_HEARD_UPSTREAMS:
            del self._heard[next(iter(self._heard))]
        if known is None or order > known[0]:
            self._heard[name] = (order, now)

    def list_heard(self, names, now):
        """Return the recent heartbeats of upstreams.

        :param names: names of the upstreams.
        :param now: monotonic seconds.
        :returns: list of :class:`~sassafrashook.fleet._messages.HeardUpstream`.
        """
        heard = []
        for name in names:
            (boot_ms, _), at = self._heard.get(name, ((0, 0), float("-inf")))
            if now < at + HEARTBEAT_TTL_S:
                heard.append(HeardUpstream(name, boot_ms, (now - at) * MS_PER_S))
        return heard

    def deliver(self, sender, message):
        """Answer a router, if any of the upstreams has been heard."""
        names = message.upstreams[:MAX_ASKED_UPSTREAMS]
        heard = self.list_heard(names, time.monotonic())
        if heard:
            self.mesh.send(sender, HeartbeatsKnown(heard))


class HeartbeatRequester:
    """Asks the connected controllers for the heartbeats of upstreams that this router doubts.

    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param subscriber: a :class:`~sassafrashook.fleet.FleetSubscriber`.
    :param placement: a :class:`~sassafrashook.placement.Placement`.
    """

    handled_messages = (HeartbeatsKnown,)

    def __init__(self, mesh, subscriber, placement):
        self.mesh = mesh
        self.subscriber = subscriber
        self.placement = placement
        self._asked_at = float("-inf")

    def ask(self, router_count, now):
        """Ask for some of the doubted upstreams if a question is due.

        :param router_count: number of routers in the fleet.
        :param now: monotonic seconds.
        """
        interval_s = REQUEST_INTERVAL_S * max(1.0, router_count / ROUTERS_PER_INTERVAL)
        if now < self._asked_at + interval_s:
            return
        names = self.placement.list_doubted()
        if not names:
            return
        self._asked_at = now
        if len(names) > MAX_ASKED_UPSTREAMS:
            names = random.sample(names, MAX_ASKED_UPSTREAMS)
        for controller in self.subscriber.list_connected():
            self.mesh.send(controller, HeartbeatsRequested(names))

    def deliver(self, _sender, message):
        """Record when upstreams were heard."""
        now = time.monotonic()
        for heard in message.heartbeats:
            key = (heard.upstream_id, heard.boot_ms)
            self.placement.record_heartbeat(key, now - heard.age_ms / MS_PER_S)
