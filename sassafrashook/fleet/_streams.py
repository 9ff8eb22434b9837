"""Exchange of the software versions of streams between routers and controllers."""

import itertools
import time

import gevent
from gevent.event import Event

from sassafrashook.fleet._messages import (
    StreamBegun,
    StreamsBegun,
    StreamVersionReply,
    StreamVersionRequested,
)
from sassafrashook.streams import (
    LookupSource,
    StreamAnnouncer,
    StreamLedger,
    StreamOrigin,
    StreamVersions,
    VersionLookup,
    select_asked_controllers,
)
from sassafrashook.tasks import spawn_task
from sassafrashook.utils import hash_key

# A lookup without a result is given up after this time; links that broke are open again by then.
LOOKUP_TIMEOUT_S = 0.5
LOOKUP_RESEND_INTERVAL_S = 0.1
ANNOUNCE_DELAY_S = 0.02  # collects the streams that begin at about the same time
RESTART_CHECK_INTERVAL_S = 0.2  # between checks whether a controller has lost its records
EXPIRY_INTERVAL_S = 5.0
MAX_RETENTION_S = 600.0  # of a record, whatever deadline a client states
MS_PER_S = 1_000


class StreamRecords:
    """Keeps the records of streams on a controller and answers the routers' lookups.

    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param registry: a :class:`~sassafrashook.registry.Registry`.
    :param is_current: called with the time in monotonic seconds; returns whether this controller
        knows what a majority of the controllers knows.

    :ivar ledger_: a :class:`~sassafrashook.streams.StreamLedger`.
    """

    handled_messages = (StreamsBegun, StreamVersionRequested)

    def __init__(self, mesh, registry, is_current):
        self.mesh = mesh
        self.registry = registry
        self.is_current = is_current
        self.ledger_ = StreamLedger()

    def deliver(self, sender, message):
        """Handle a message of a router."""
        now = time.monotonic()
        if isinstance(message, StreamsBegun):
            for stream in message.streams:
                until = now + min(stream.remaining_ms / MS_PER_S, MAX_RETENTION_S)
                self.ledger_.record(stream.key, stream.version, until)
            return
        reply = StreamVersionReply(
            message.lookup_id,
            self.ledger_.find(message.key, now),
            self.registry.list_software_versions(message.service, now),
            self.is_current(now),
        )
        self.mesh.send(sender, reply)

    def run(self):
        """Remove expired records, forever."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            self.ledger_.remove_expired(time.monotonic())


class FleetStreamVersions(StreamVersions):
    """Announces the streams of a router to controllers, and asks them about those of others.

    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param subscriber: a :class:`~sassafrashook.fleet.FleetSubscriber`.

    :ivar announcer_: the :class:`~sassafrashook.streams.StreamAnnouncer`.
    """

    handled_messages = (StreamVersionReply,)

    def __init__(self, mesh, subscriber):
        self.mesh = mesh
        self.subscriber = subscriber
        self.announcer_ = StreamAnnouncer()
        self._recorded = Event()
        self._lookups = {}
        self._lookup_ids = itertools.count()
        self._task = None

    def start(self):
        """Start to announce streams."""
        self._task = spawn_task(self._run)

    def stop(self):
        """Announce what is left and stop."""
        self.flush()
        self._task.kill()

    def record(self, request_id, version, until):
        """Record a stream and announce it soon; see :class:`StreamVersions`."""
        if request_id:
            until = min(until, time.monotonic() + MAX_RETENTION_S)
            self.announcer_.record(hash_key(request_id), version, until)
            self._recorded.set()

    def _run(self):
        expire_at = time.monotonic() + EXPIRY_INTERVAL_S
        while True:
            if self._recorded.wait(RESTART_CHECK_INTERVAL_S):
                gevent.sleep(ANNOUNCE_DELAY_S)
            self.flush()
            now = time.monotonic()
            if now >= expire_at:
                self.announcer_.ledger_.remove_expired(now)
                expire_at = now + EXPIRY_INTERVAL_S

    def flush(self):
        """Send the streams that are due to the controllers that keep their records."""
        self._recorded.clear()
        subscriber, now = self.subscriber, time.monotonic()
        due = self.announcer_.take_due(
            subscriber.controllers_, subscriber.list_controller_boots(), now
        )
        for name, streams in due.items():
            begun = [
                StreamBegun(key, version, (until - now) * MS_PER_S)
                for key, version, until in streams
            ]
            self.mesh.send(name, StreamsBegun(begun))

    def find(self, request_id, services, deadline):
        """Find a version in the own ledger, or ask controllers; see :class:`StreamVersions`."""
        key, now = hash_key(request_id or ""), time.monotonic()
        version = self.announcer_.ledger_.find(key, now)
        if version is not None:
            return StreamOrigin(version, LookupSource.OWN)
        controllers = self.subscriber.controllers_
        asked, quorum = select_asked_controllers(key, controllers), len(controllers) // 2 + 1
        # A record is found whatever the service.
        services = services[:1] if request_id else services
        lookup = VersionLookup(asked, quorum, bool(request_id), services)
        self._ask_controllers(lookup, key, min(deadline, now + LOOKUP_TIMEOUT_S))
        return lookup.decide()

    def _ask_controllers(self, lookup, key, deadline):
        """Ask the controllers of a lookup until it is decided.

        Each service has a question of its own, which controllers of any build understand.

        :param deadline: monotonic seconds.
        """
        has_reply, asked_at = Event(), float("-inf")
        questions = {next(self._lookup_ids): service for service in lookup.services}
        for lookup_id, service in questions.items():
            self._lookups[lookup_id] = (lookup, service, has_reply)
        try:
            while (now := time.monotonic()) < deadline and not lookup.is_decided():
                if now >= asked_at + LOOKUP_RESEND_INTERVAL_S:
                    asked_at = now
                    for lookup_id, service in questions.items():
                        for name in lookup.list_missing(service):
                            self.mesh.send(name, StreamVersionRequested(lookup_id, key, service))
                has_reply.wait(min(deadline, asked_at + LOOKUP_RESEND_INTERVAL_S) - now)
                has_reply.clear()
        finally:
            for lookup_id in questions:
                del self._lookups[lookup_id]

    def deliver(self, sender, reply):
        """Add the reply of a controller to the lookup that waits for it."""
        if reply.lookup_id not in self._lookups:
            return
        lookup, service, has_reply = self._lookups[reply.lookup_id]
        known_versions, is_current = reply.known_versions, reply.is_current
        lookup.add_reply(sender, reply.recorded, known_versions, is_current, service)
        has_reply.set()
