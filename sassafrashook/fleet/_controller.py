"""A controller's part in the state that all nodes share."""

import time
import uuid
import zlib
from dataclasses import dataclass
from enum import StrEnum

import gevent
import msgspec
from returns.result import Failure

from sassafrashook.fleet._exchange import CONTACT_S, LoadExchange
from sassafrashook.fleet._follower import FleetFollower, FleetView
from sassafrashook.fleet._memory import KnownFleet
from sassafrashook.fleet._messages import ViewChanged, ViewRequested
from sassafrashook.fleet._publisher import Position, Publisher
from sassafrashook.fleet._state import (
    PutConfiguration,
    SetZoneDrained,
    encode_command,
)
from sassafrashook.gateways import ProposalFailure
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import log_event
from sassafrashook.transport import PeerAddress
from sassafrashook.utils import hash_key, rank_nodes

TICK_S = 0.05
COMMIT_S = 0.85  # a caller waits a second for an answer
SPREAD_S = 0.8  # how long an upstream's leaving may take to reach the other nodes
ROUTER_SPREAD_S = 0.5  # how long it waits for routers that lag
POLL_S = 0.01
REMEMBER_S = 1.0  # between two times that what is known of the fleet is saved
COMPRESSION_LEVEL = 6


class OrderOutcome(StrEnum):
    """What became of an operator's order."""

    DONE = "done"
    ELSEWHERE = "elsewhere"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class OrderReply:
    """The answer to an operator's order.

    :param leader: the controller to ask instead, where the outcome is ``elsewhere``.
    """

    outcome: OrderOutcome
    leader: str = ""


class FleetController:
    """Keeps configuration and registrations, and tells them to everybody.

    The configuration and the drained zones are in the replicated log; registrations are in memory,
    on every controller, and are heard again within a heartbeat. Until then a restarted controller
    goes by those that it saved.

    :param name: this controller's IP number.
    :param replica: a :class:`~sassafrashook.consensus.Replica`.
    :param state: its :class:`~sassafrashook.fleet.AgreedState`.
    :param registry: a :class:`~sassafrashook.registry.Registry`.
    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param port: port of all nodes' streams.
    :param memory: a :class:`~sassafrashook.fleet.FleetMemory`, ``None`` to save nothing.
    :param recalled_s: how long saved registrations count until they are heard again.
    """

    def __init__(self, name, replica, state, registry, mesh, port, memory=None, recalled_s=0.0):
        self.name = name
        self.replica = replica
        self.state = state
        self.registry = registry
        self.mesh = mesh
        self.port = port
        self.memory = memory
        self.recalled_s = recalled_s
        self.publisher_ = Publisher(uuid.uuid4().hex[:16])
        self.exchange_ = LoadExchange(mesh, registry, self.publisher_)
        self.follower_ = FleetFollower(
            name, mesh, FleetView(registry), port, False, self._note_followed
        )
        self._was_connected = False

    def start(self):
        """Start to follow the other controllers and to publish."""
        tasks = [self._publish, self.exchange_.run]
        if self.memory is not None:
            self._recall()
            tasks.append(self._remember)
        self.mesh.subscribe((ViewRequested,), self._on_view_requested)
        self.mesh.subscribe(self.exchange_.handled_messages, self.exchange_.deliver)
        self.mesh.subscribe(self.follower_.handled_messages, self.follower_.deliver)
        self.follower_.start()
        self._tasks = [spawn_task(task) for task in tasks]

    def stop(self):
        """Stop publishing."""
        self.follower_.stop()
        gevent.killall(self._tasks)

    def _recall(self):
        known, now = self.memory.load(), time.monotonic()
        self.registry.recall(known.registrations, self.recalled_s, now)
        self.publisher_.recall_routers(known.routers, now)
        log_event(
            "fleet_recalled", upstreams=len(known.registrations), routers=len(known.routers),
            valid_s=self.recalled_s,
        )  # fmt: skip

    def _remember(self):
        """Save what is known of the fleet whenever it has changed."""
        saved = None
        pool = gevent.get_hub().threadpool
        while True:
            gevent.sleep(REMEMBER_S)
            routers = self.publisher_.list_routers(time.monotonic())
            stamp = (self.registry.revision_, routers)
            if stamp == saved:
                continue
            known = KnownFleet(list(self.registry.entries_.values()), routers)
            if pool.apply(self.memory.save, (known,)):
                saved = stamp

    def set_seeds(self, names):
        """Take the controllers that the settings name."""
        self.follower_.set_seeds(names)
        self.replica.add_contacts(names)

    def _on_view_requested(self, sender, request):
        self.mesh.learn(PeerAddress(sender, sender, self.port))
        self.publisher_.note_request(sender, request, time.monotonic())

    def _note_followed(self, _change, _returned):
        self.replica.add_contacts(self.follower_.controllers_)

    def _member_names(self):
        return {member.name for member in self.replica.members() if member.voter}

    def _position(self):
        state = self.state
        return Position(self.registry.revision_, state.version_, state.drain_index_)

    def _publish(self):
        while True:
            now = time.monotonic()
            self._note_connection(now)
            self._expire(now)
            size = len(self.state.configuration_)
            due = self.publisher_.list_due(self._position(), now, self._is_first, size)
            self._send_views(due, now)
            gevent.sleep(TICK_S)

    def _expire(self, now):
        registry = self.registry
        for name in registry.forget_recalled(now):
            log_event("upstream_not_heard_again", upstream=name, recalled_s=self.recalled_s)
        for name in registry.expire(now) if self._was_connected else ():
            log_event("upstream_silent", upstream=name, silent_s=registry.silent_s)

    def _note_connection(self, now):
        connected = self.is_connected(now)
        if connected != self._was_connected:
            self._was_connected = connected
            event = "majority_connected" if connected else "majority_lost"
            log_event(event, heard=sorted(self.publisher_.list_heard(now, CONTACT_S)))

    def _is_first(self, follower):
        """Return whether this controller sends a follower its configurations."""
        members = self._member_names()
        return not members or rank_nodes(hash_key(follower), members)[0] == self.name

    def _send_views(self, due, now):
        state, registry = self.state, self.registry
        routers = self.publisher_.list_routers(now)
        members = sorted(member.name for member in self.replica.members())
        drained = sorted(state.drained_zones_)
        for name, held, with_configuration in due:
            is_newer = with_configuration and state.version_ > held.configuration_version
            change = ViewChanged(
                self.publisher_.boot,
                registry.revision_,
                registry.list_changes(held.revision, now),
                members,
                routers,
                state.drain_index_,
                drained,
                state.version_ if is_newer else 0,
                state.configuration_ if is_newer else b"",
            )
            self.mesh.send(name, change)

    def is_connected(self, now):
        """Return whether this controller hears a majority of the group, itself included."""
        members = self._member_names()
        heard = (self.publisher_.list_heard(now, CONTACT_S) & members) | ({self.name} & members)
        return len(heard) * 2 > len(members)

    def register(self, entry):
        """Take an upstream's heartbeat.

        A leaving upstream's is acknowledged only once a majority of controllers know it, for each
        router that is in contact with the fleet hears from one of these.

        :param entry: a :class:`~sassafrashook.registry.Registration`.
        :returns: whether it may be acknowledged.
        """
        now = time.monotonic()
        if not self.is_connected(now):
            return False
        changed = self.registry.merge(entry, now)
        self.exchange_.note_heartbeat(entry)
        if changed:
            log_event(
                "upstream_registered", upstream=entry.upstream_id, boot_ms=entry.boot_ms,
                sequence=entry.sequence, state=entry.state.name.lower(), service=entry.service,
                address=f"{entry.host}:{entry.port}", zone=entry.availability_zone,
                cold_ms=round(entry.cold_ms), revision=self.registry.revision_,
            )  # fmt: skip
        return not entry.is_leaving or self._spread(self.registry.revision_)

    def remove(self, upstream_id):
        """Take an upstream's word that it leaves now; see :meth:`register`."""
        now = time.monotonic()
        if not self.is_connected(now):
            return False
        if self.registry.remove(upstream_id, now, time.time_ns() // 1_000_000):
            revision = self.registry.revision_
            log_event("upstream_left", upstream=upstream_id, revision=revision)
        return self._spread(self.registry.revision_)

    def _spread(self, revision):
        """Wait until a majority of controllers holds a revision, and a moment for routers."""
        started = time.monotonic()
        while (now := time.monotonic()) < started + SPREAD_S:
            members = self._member_names()
            holding = {n for n in members if self.publisher_.has_reached(n, revision)}
            holding |= {self.name} & members
            has_majority = len(holding) * 2 > len(members)
            lags = self.publisher_.lags(revision, now, CONTACT_S)
            if has_majority and (not lags or now >= started + ROUTER_SPREAD_S):
                return True
            gevent.sleep(POLL_S)
        log_event("spread_incomplete", level="warning", revision=revision, holding=sorted(holding))
        return False

    def put_configuration(self, configuration, document):
        """Put a checked configuration in force.

        :param configuration: a :class:`~sassafrashook.routes.RouteConfiguration`.
        :param document: the operator's document, ``bytes``.
        :returns: an :class:`OrderReply`.
        """
        if configuration.version <= self.state.version_:
            log_event(
                "configuration_passed", version=configuration.version, held=self.state.version_
            )
            return OrderReply(OrderOutcome.DONE)
        encoded = zlib.compress(msgspec.msgpack.encode(configuration), COMPRESSION_LEVEL)
        packed = zlib.compress(document, COMPRESSION_LEVEL)
        reply = self._propose(PutConfiguration(configuration.version, packed, encoded))
        log_event(
            "configuration_ordered", version=configuration.version, outcome=reply.outcome,
            leader=reply.leader, document_bytes=len(document), log_bytes=len(packed) + len(encoded),
        )  # fmt: skip
        return reply

    def set_zone_drained(self, zone, is_out):
        """Take an availability zone out or back; :returns: an :class:`OrderReply`."""
        reply = self._propose(SetZoneDrained(zone, is_out))
        outcome, leader = reply.outcome, reply.leader
        log_event("zone_drain_ordered", zone=zone, out=is_out, outcome=outcome, leader=leader)
        return reply

    def _propose(self, command):
        deadline = time.monotonic() + COMMIT_S
        result = self.replica.propose(encode_command(command), deadline)
        if not isinstance(result, Failure):
            return OrderReply(OrderOutcome.DONE)
        error = result.failure()
        if error.failure is ProposalFailure.NOT_LEADER and error.leader not in ("", self.name):
            return OrderReply(OrderOutcome.ELSEWHERE, error.leader)
        return OrderReply(OrderOutcome.UNKNOWN)

    def read_document(self):
        """Return the operator's document in force, or ``None`` if that is not certain.

        :returns: ``bytes``, empty if there is none yet.
        """
        result = self.replica.confirm_read(time.monotonic() + COMMIT_S)
        if isinstance(result, Failure):
            return None
        return zlib.decompress(self.state.document_) if self.state.document_ else b""
