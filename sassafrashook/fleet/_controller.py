"""Controller side of the fleet state: replicates it and publishes it to all nodes."""

import functools
import time
import uuid
import zlib

import gevent
import msgspec
from returns.result import Failure

from sassafrashook.fleet._cache import CachedFleet
from sassafrashook.fleet._configurations import COMPRESSION_LEVEL, ConfigurationHistory, pack
from sassafrashook.fleet._confirmation import ConfigurationConfirmer
from sassafrashook.fleet._exchange import CONNECTED_TIMEOUT_S, LoadExchange
from sassafrashook.fleet._heartbeats import HeartbeatLog
from sassafrashook.fleet._messages import ViewChanged, ViewRequested
from sassafrashook.fleet._publisher import (
    DEFAULT_LINK_BYTES_PER_S,
    Publisher,
    StateVersions,
)
from sassafrashook.fleet._replies import OperatorCommandOutcome, OperatorCommandReply
from sassafrashook.fleet._rollouts import FleetRollouts
from sassafrashook.fleet._state import (
    PutConfiguration,
    SetZoneDrained,
    encode_command,
)
from sassafrashook.fleet._streams import StreamRecords
from sassafrashook.fleet._subscriber import FleetSubscriber
from sassafrashook.fleet._versions import EstablishedVersions
from sassafrashook.fleet._view import FleetView
from sassafrashook.interfaces import ProposalErrorReason
from sassafrashook.quarantine import CrashLedger
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import log_event
from sassafrashook.transport import PeerAddress
from sassafrashook.utils import hash_key, rank_nodes

PUBLISH_INTERVAL_S = 0.05
COMMIT_TIMEOUT_S = 0.85  # a caller waits 1 s for a response
PROPAGATION_TIMEOUT_S = 0.8  # longest wait for a departure to reach the other nodes
ROUTER_PROPAGATION_TIMEOUT_S = 0.5  # the part of it that lagging routers are waited for
PROPAGATION_POLL_S = 0.01
# A controller without a request for this time is no router's primary; it sends one every 0.5 s.
PRIMARY_TIMEOUT_S = 0.8
MAX_CHECK_GAP_S = 0.5  # between checks of heartbeats by a controller that reads them in time
LINK_LOG_INTERVAL_S = 5.0  # between log lines about what the link had no room for
CACHE_INTERVAL_S = 1.0  # between checks whether the fleet cache must be saved
UPDATE_BYTES = 200  # approximate size of an update without changes, with its headers
NAME_BYTES = 14  # approximate size of the name of a router


class FleetController:
    """Maintains the configuration and the registrations, and publishes them to all nodes.

    The configuration and the drained zones are in the replicated log. Registrations are kept in
    memory on every controller and are renewed by each heartbeat. Until the first heartbeat, a
    restarted controller uses the registrations in its cache.

    :param name: IP address of this controller, which is its node name.
    :param replica: a :class:`~sassafrashook.consensus.Replica`.
    :param state: the :class:`~sassafrashook.fleet.FleetState` of the replica.
    :param registry: a :class:`~sassafrashook.registry.Registry`.
    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param port: port on which every node accepts streams of other nodes.
    :param cache: a :class:`~sassafrashook.fleet.FleetCache`, ``None`` to save nothing.
    :param recalled_valid_s: how long recalled registrations are valid without a heartbeat, seconds.
    :param link_bytes_per_s: bandwidth of this controller's link, in bytes per second.
    :param rollout_bounds: the :class:`~sassafrashook.rollouts.RolloutBounds`, ``None`` in a
        deployment without rollouts.

    :ivar confirmer_: the :class:`~sassafrashook.fleet._confirmation.ConfigurationConfirmer`.
    :ivar rollouts_: the :class:`~sassafrashook.fleet._rollouts.FleetRollouts`, or ``None``.
    :ivar configurations_: the :class:`~sassafrashook.fleet._configurations.ConfigurationHistory`.
    :ivar crashes_: the :class:`~sassafrashook.quarantine.CrashLedger` of the whole fleet.
    :ivar publisher_: the :class:`~sassafrashook.fleet.Publisher`.
    :ivar exchange_: the :class:`~sassafrashook.fleet._exchange.LoadExchange`.
    :ivar streams_: the :class:`~sassafrashook.fleet._streams.StreamRecords`.
    :ivar versions_: the :class:`~sassafrashook.fleet._versions.EstablishedVersions`.
    :ivar heartbeats_: the :class:`~sassafrashook.fleet._heartbeats.HeartbeatLog`.
    :ivar subscriber_: the :class:`~sassafrashook.fleet.FleetSubscriber` to the other controllers.
    """

    def __init__(
        self,
        name,
        replica,
        state,
        registry,
        mesh,
        port,
        cache=None,
        recalled_valid_s=0.0,
        link_bytes_per_s=DEFAULT_LINK_BYTES_PER_S,
        rollout_bounds=None,
    ):
        self.name = name
        self.replica = replica
        self.state = state
        self.registry = registry
        self.mesh = mesh
        self.port = port
        self.cache = cache
        self.recalled_valid_s = recalled_valid_s
        self.publisher_ = Publisher(uuid.uuid4().hex[:16], link_bytes_per_s)
        self.configurations_ = ConfigurationHistory()
        self.confirmer_ = ConfigurationConfirmer(replica, state)
        self.crashes_ = CrashLedger()
        self.exchange_ = LoadExchange(
            mesh, registry, self.crashes_, self.publisher_, link_bytes_per_s
        )
        self.streams_ = StreamRecords(mesh, registry, self.is_current)
        self.heartbeats_ = HeartbeatLog(mesh)
        self.versions_ = EstablishedVersions(registry)
        self.rollouts_ = None
        if rollout_bounds is not None:
            self.rollouts_ = FleetRollouts(
                name,
                replica,
                state,
                registry,
                mesh,
                self.publisher_,
                rollout_bounds,
                link_bytes_per_s,
                self.is_current,
            )
        view = FleetView(registry, self.crashes_)
        self.subscriber_ = FleetSubscriber(
            name, mesh, view, port, False, self._add_announcement_targets
        )
        self._had_majority = False
        self._started_at = time.monotonic()
        self._checked_at = self._listening_since = self._started_at
        self._link_logged_at = self._started_at
        self._link_totals = (0, 0)

    def start(self):
        """Start to subscribe to the other controllers and to publish updates."""
        tasks = [self._publish, self.confirmer_.run, self.exchange_.run, self.streams_.run]
        if self.cache is not None:
            self.load_cache()
            tasks.append(self._save_cache)
        if self.rollouts_ is not None:
            self.mesh.subscribe(self.rollouts_.handled_messages, self.rollouts_.deliver)
            tasks.append(self.rollouts_.run)
        self.mesh.subscribe((ViewRequested,), self._on_view_requested)
        self.mesh.subscribe(self.exchange_.handled_messages, self.exchange_.deliver)
        self.mesh.subscribe(self.streams_.handled_messages, self.streams_.deliver)
        self.mesh.subscribe(self.heartbeats_.handled_messages, self.heartbeats_.deliver)
        self.mesh.subscribe(self.subscriber_.handled_messages, self.subscriber_.deliver)
        self.subscriber_.start()
        self._tasks = [spawn_task(task) for task in tasks]

    def stop(self):
        """Stop the subscription and the background tasks."""
        self.subscriber_.stop()
        gevent.killall(self._tasks)

    def load_cache(self):
        """Restore what this controller had saved before it stopped."""
        cached, now = self.cache.load(), time.monotonic()
        self.registry.recall(cached.registrations, self.recalled_valid_s, now)
        for service, version in cached.software_versions:
            self.registry.record_software_version(service, version, now)
        self.versions_.restore(map(tuple, cached.software_versions))
        self.publisher_.restore_routers(cached.routers, now)
        for record in cached.crashes:
            self.crashes_.merge(record, now)
        log_event(
            "fleet_cache_loaded", upstreams=len(cached.registrations), routers=len(cached.routers),
            crashes=len(cached.crashes), valid_s=self.recalled_valid_s,
            software_versions=len(cached.software_versions),
        )  # fmt: skip

    def collect_fleet(self):
        """Return what this controller restores after a restart, a :class:`CachedFleet`."""
        now = time.monotonic()
        return CachedFleet(
            list(self.registry.registrations_.values()),
            self.publisher_.list_routers(now),
            self.crashes_.list_changes(0, now),
            self.registry.list_all_software_versions(now),
        )

    def _save_cache(self):
        """Save the known upstreams, routers and crashes whenever they have changed, forever."""
        saved = None
        pool = gevent.get_hub().threadpool
        while True:
            gevent.sleep(CACHE_INTERVAL_S)
            routers = self.publisher_.list_routers(time.monotonic())
            current = (self.registry.revision_, routers, self.crashes_.revision_)
            if current != saved and pool.apply(self.cache.save, (self.collect_fleet(),)):
                saved = current

    def set_seeds(self, names):
        """Replace the seed controllers, which the settings name."""
        self.subscriber_.set_seeds(names)
        self.replica.add_announcement_targets(names)

    def _on_view_requested(self, sender, request):
        self.mesh.update_peer_address(PeerAddress(sender, sender, self.port))
        self.publisher_.handle_request(sender, request, time.monotonic())

    def _add_announcement_targets(self, _update, _undrained_zones):
        self.replica.add_announcement_targets(self.subscriber_.controllers_)

    def _list_voters(self):
        return {member.name for member in self.replica.get_members() if member.voter}

    def _get_versions(self):
        state = self.state
        return StateVersions(
            self.registry.revision_,
            state.version_,
            state.drain_index_,
            self.crashes_.revision_,
            state.rollouts_.index_,
        )

    def _publish(self):
        """Check the majority, expire registrations and send due updates, forever."""
        while True:
            now = time.monotonic()
            self._update_majority(now)
            self._expire_registrations(now)
            self.send_due_updates(now)
            gevent.sleep(PUBLISH_INTERVAL_S)

    def send_due_updates(self, now):
        """Send the updates that are due to the subscribers.

        :param now: monotonic seconds.
        """
        self.configurations_.update(self.state.version_, self.state.configuration_)
        for service, version in self.versions_.update(self._is_held_by_majority):
            log_event("software_version_established", service=service, version=version)
        self.publisher_.router_names_.update(self.publisher_.list_routers(now))
        due = self.publisher_.schedule_updates(
            self._get_versions(),
            now,
            self._make_primary_test(now),
            self._measure_configuration,
            self._measure_crashes,
            functools.cache(self._measure_update),
        )
        self._send_updates(due, now)
        self._log_full_link(now)

    def _log_full_link(self, now):
        """Log how much the link had no room for since the last line, if anything."""
        if now < self._link_logged_at + LINK_LOG_INTERVAL_S:
            return
        totals = (self.publisher_.postponed_, self.exchange_.parts_dropped_)
        if totals != self._link_totals:
            postponed, dropped = (a - b for a, b in zip(totals, self._link_totals, strict=True))
            log_event(
                "link_full", level="warning", updates_postponed=postponed, parts_dropped=dropped,
                routers=len(self.publisher_.router_names_.names_),
            )  # fmt: skip
        self._link_logged_at, self._link_totals = now, totals

    def _measure_update(self, revision, routers_revision):
        """Return the approximate size of an update without crashes and configuration, in bytes."""
        names = self.publisher_.router_names_
        changes = names.list_changes(routers_revision)
        name_count = len(names.names_) if changes is None else sum(map(len, changes))
        registrations = self.registry.list_changes(revision, time.monotonic())
        size = len(msgspec.msgpack.encode(registrations))
        return UPDATE_BYTES + size + name_count * NAME_BYTES

    def _encode_configuration(self, held_version, reads_changes):
        """Return the version that an update changes, 0 for a whole configuration, and its bytes."""
        changes = self.configurations_.encode_changes(held_version) if reads_changes else None
        return (0, self.state.configuration_) if changes is None else (held_version, changes)

    def _measure_configuration(self, held_version, reads_changes):
        return len(self._encode_configuration(held_version, reads_changes)[1])

    def _measure_crashes(self, revision):
        """Return the approximate size of the records of crashes that a router lacks, in bytes."""
        now = time.monotonic()
        records = self.crashes_.list_changes_for_routers(revision, now)
        return UPDATE_BYTES + sum(len(msgspec.msgpack.encode(record)) for record in records)

    def _expire_registrations(self, now):
        """Remove recalled registrations that were not renewed, and mark silent upstreams.

        A controller that is not connected to a majority refuses heartbeats, and one that stood
        still has not read them, so both mark upstreams only after listening for long enough.
        """
        registry = self.registry
        if not self._had_majority or now >= self._checked_at + MAX_CHECK_GAP_S:
            self._listening_since = now
        self._checked_at = now
        for name in registry.remove_expired_recalled(now):
            log_event("recalled_upstream_expired", upstream=name, valid_s=self.recalled_valid_s)
        for name in registry.update_liveness(now, self._listening_since):
            log_event("upstream_silent", upstream=name, silent_s=registry.silence_timeout_s)

    def _update_majority(self, now):
        has_majority = self.has_majority(now)
        if has_majority != self._had_majority:
            self._had_majority = has_majority
            event = "majority_connected" if has_majority else "majority_lost"
            log_event(event, heard=sorted(self.publisher_.list_connected(now, CONNECTED_TIMEOUT_S)))

    def _make_primary_test(self, now):
        """Return a function of a router's name that tells whether this is its primary controller.

        The primary controller is the one that sends a router new configurations. It is one of the
        voters that this controller hears.

        :param now: monotonic seconds.
        """
        voters = self._list_voters()
        heard = voters & self.publisher_.list_connected(now, PRIMARY_TIMEOUT_S)
        if self.name in voters:
            heard.add(self.name)
        return lambda router: not voters or rank_nodes(hash_key(router), heard)[:1] == [self.name]

    def _send_updates(self, due, now):
        """Send an update to each subscriber of :meth:`Publisher.schedule_updates`."""
        state, registry, crashes = self.state, self.registry, self.crashes_
        publisher, router_names = self.publisher_, self.publisher_.router_names_
        members = sorted(member.name for member in self.replica.get_members())
        drained_zones = sorted(state.drained_zones_)
        list_registrations = functools.cache(lambda revision: registry.list_changes(revision, now))
        list_for_routers = functools.cache(
            lambda revision: self.versions_.select_established(list_registrations(revision))
        )
        list_names = functools.cache(router_names.list_changes)
        for update in due:
            name, held = update.name, update.held
            subscriber, held_version = publisher.subscribers_[name], held.configuration_version
            is_newer = update.with_configuration and state.version_ > held_version
            base_version, configuration, superseded = 0, b"", None
            if is_newer:
                base_version, configuration = self._encode_configuration(
                    held_version, subscriber.reads_changes
                )
            elif subscriber.is_router and subscriber.reads_changes:
                base_version = held_version
                superseded = self.configurations_.list_superseded(held_version)
            crash_revision, crash_records = max(0, held.crash_revision), []
            if update.with_crashes:
                crash_revision = crashes.revision_
                list_crashes = (
                    crashes.list_changes_for_routers
                    if subscriber.is_router
                    else crashes.list_changes
                )
                crash_records = list_crashes(held.crash_revision, now)
            name_changes = list_names(update.routers_revision)
            joined, left = name_changes or ((), ())
            lacks_rollouts = held.rollout_index < state.rollouts_.index_
            message = ViewChanged(
                publisher.boot_id,
                registry.revision_,
                (list_for_routers if subscriber.is_router else list_registrations)(held.revision),
                members,
                router_names.names_ if name_changes is None else (),
                state.drain_index_,
                drained_zones,
                state.version_ if is_newer else 0,
                configuration,
                crash_revision,
                crash_records,
                held.revision,
                held.crash_revision,
                state.version_,
                self._had_majority,
                router_names.revision_,
                update.routers_revision,
                joined,
                left,
                state.rollouts_.index_,
                state.rollouts_.list_all() if lacks_rollouts else (),
                publisher.find_confirmed_ms(name, self.confirmer_.confirmed_at_),
                base_version,
                superseded,
            )
            self.mesh.send(name, message)

    def has_majority(self, now):
        """Return whether a majority of the group's voters is connected, this one included.

        A voter is connected if one of its requests arrived within ``CONNECTED_TIMEOUT_S``.
        """
        voters = self._list_voters()
        connected = (self.publisher_.list_connected(now, CONNECTED_TIMEOUT_S) & voters) | (
            {self.name} & voters
        )
        return len(connected) * 2 > len(voters)

    def is_current(self, now):
        """Return whether this controller knows the upstreams that a majority knows.

        Upstreams that registered just before it stopped may be missing in what it had saved, so it
        has to run for as long as all upstreams need to send their heartbeats.

        :param now: monotonic seconds.
        """
        return now >= self._started_at + self.recalled_valid_s and self.has_majority(now)

    def register(self, registration):
        """Process an upstream's heartbeat.

        The heartbeat of a leaving upstream is acknowledged only once a majority of controllers hold
        it, because each router connected to the fleet receives updates from one of these.

        :param registration: a :class:`~sassafrashook.registry.Registration`.
        :returns: whether the heartbeat may be acknowledged.
        """
        now = time.monotonic()
        if not self.has_majority(now):
            return False
        changed = self.registry.merge(registration, now)
        self.heartbeats_.record(registration, now)
        self.exchange_.queue_heartbeat(registration)
        if changed:
            log_event(
                "upstream_registered", upstream=registration.upstream_id,
                boot_ms=registration.boot_ms, sequence=registration.sequence,
                state=registration.state.name.lower(), service=registration.service,
                address=f"{registration.host}:{registration.port}",
                zone=registration.availability_zone, software=registration.version,
                cold_ms=round(registration.cold_ms),
                revision=self.registry.revision_,
            )  # fmt: skip
        return not registration.is_closed_to_requests or self._wait_for_propagation(
            self.registry.revision_
        )

    def mark_departed(self, upstream_id):
        """Mark an upstream as left, at its own request.

        :returns: whether the departure may be acknowledged; see :meth:`register`.
        """
        now = time.monotonic()
        if not self.has_majority(now):
            return False
        if self.registry.mark_left(upstream_id, now, time.time_ns() // 1_000_000):
            revision = self.registry.revision_
            log_event("upstream_left", upstream=upstream_id, revision=revision)
        return self._wait_for_propagation(self.registry.revision_)

    def _list_holders(self, revision):
        """Return the set of the voters that hold a revision of the registrations."""
        voters = self._list_voters()
        holders = {name for name in voters if self.publisher_.holds_revision(name, revision)}
        return holders | ({self.name} & voters)

    def _is_held_by_majority(self, revision):
        return len(self._list_holders(revision)) * 2 > len(self._list_voters())

    def _wait_for_propagation(self, revision):
        """Wait until a majority of controllers holds a revision.

        Connected routers that lag are waited for as well, but at most
        ``ROUTER_PROPAGATION_TIMEOUT_S``.

        :returns: whether a majority held it within ``PROPAGATION_TIMEOUT_S``.
        """
        started = time.monotonic()
        while (now := time.monotonic()) < started + PROPAGATION_TIMEOUT_S:
            has_majority = self._is_held_by_majority(revision)
            lagging = self.publisher_.has_lagging_router(revision, now, CONNECTED_TIMEOUT_S)
            if has_majority and (not lagging or now >= started + ROUTER_PROPAGATION_TIMEOUT_S):
                return True
            gevent.sleep(PROPAGATION_POLL_S)
        log_event(
            "propagation_incomplete",
            level="warning",
            revision=revision,
            holders=sorted(self._list_holders(revision)),
        )
        return False

    @property
    def pacer(self):
        """The :class:`~sassafrashook.transport.LinkPacer` of this controller's link."""
        return self.mesh.pacer_

    def put_configuration(self, configuration, document):
        """Commit a validated configuration.

        A version that is not newer than the current one is accepted without effect.

        :param configuration: a :class:`~sassafrashook.routes.RouteConfiguration`.
        :param document: the operator's original document, ``bytes``.
        :returns: an :class:`OperatorCommandReply`.
        """
        if configuration.version <= self.state.version_:
            log_event(
                "configuration_not_newer", version=configuration.version, held=self.state.version_
            )
            return OperatorCommandReply(OperatorCommandOutcome.DONE)
        encoded = pack(configuration)
        packed = zlib.compress(document, COMPRESSION_LEVEL)
        reply = self._propose(PutConfiguration(configuration.version, packed, encoded))
        log_event(
            "configuration_proposed", version=configuration.version, outcome=reply.outcome,
            leader=reply.leader, document_bytes=len(document), log_bytes=len(packed) + len(encoded),
        )  # fmt: skip
        return reply

    def set_zone_drained(self, zone, is_drained):
        """Drain an availability zone or put it back into service.

        :returns: an :class:`OperatorCommandReply`.
        """
        reply = self._propose(SetZoneDrained(zone, is_drained))
        outcome, leader = reply.outcome, reply.leader
        log_event("zone_drain_ordered", zone=zone, out=is_drained, outcome=outcome, leader=leader)
        return reply

    def _propose(self, command):
        """Propose a command to the consensus group; :returns: an :class:`OperatorCommandReply`."""
        deadline = time.monotonic() + COMMIT_TIMEOUT_S
        result = self.replica.propose(encode_command(command), deadline)
        if not isinstance(result, Failure):
            return OperatorCommandReply(OperatorCommandOutcome.DONE)
        error = result.failure()
        if error.reason is ProposalErrorReason.NOT_LEADER and error.leader not in ("", self.name):
            return OperatorCommandReply(OperatorCommandOutcome.NOT_LEADER, error.leader)
        return OperatorCommandReply(OperatorCommandOutcome.UNKNOWN)

    def read_packed_document(self):
        """Return the operator's document of the current configuration with a linearizable read.

        :returns: ``bytes``, compressed with zlib, empty if there is no configuration; ``None`` if
            the read could not be confirmed in time.
        """
        result = self.replica.confirm_read(time.monotonic() + COMMIT_TIMEOUT_S)
        if isinstance(result, Failure):
            return None
        return self.state.document_
