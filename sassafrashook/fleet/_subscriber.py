"""Subscription of a node to the controllers' updates."""

import time

import gevent

from sassafrashook.fleet._messages import LoadReported, PartCached, ViewChanged, ViewRequested
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import log_event
from sassafrashook.transport import PeerAddress
from sassafrashook.utils import hash_key, rank_nodes, read_boot_time

REQUEST_INTERVAL_S = 0.5  # between requests to a connected controller without updates
CONNECT_INTERVAL_S = 0.1  # between requests to a controller that is not connected
# A controller that sent an update within this time is connected; it sends one at least each second.
CONTROLLER_TIMEOUT_S = 2.5
MS_PER_S = 1_000


class FleetSubscriber:
    """Subscribes to the seed controllers and to every controller that their updates name.

    :param name: name of this node.
    :param mesh: a :class:`~sassafrashook.transport.Mesh`.
    :param view: a :class:`~sassafrashook.fleet.FleetView`.
    :param port: port on which every node accepts streams of other nodes.
    :param is_router: whether this node is a router.
    :param on_update: called with each :class:`~sassafrashook.fleet._messages.ViewChanged` and
        the zones that it put back into service.

    :ivar controllers_: names of the controllers subscribed to.
    """

    handled_messages = (ViewChanged,)

    def __init__(self, name, mesh, view, port, is_router, on_update):
        self.name = name
        self.mesh = mesh
        self.view = view
        self.port = port
        self.is_router = is_router
        self.on_update = on_update
        self.controllers_ = set()
        self._seeds = set()
        self._revisions = {}
        self._last_update_at = {}
        self._task = None

    def start(self):
        """Start to request updates."""
        self._task = spawn_task(self._run)

    def stop(self):
        """Stop requesting updates."""
        self._task.kill()

    def set_seeds(self, names):
        """Replace the seed controllers, which stay subscribed to while they are not connected."""
        self._seeds = set(names) - {self.name}
        self._subscribe(self._seeds)

    def _subscribe(self, names):
        for name in names - self.controllers_:
            log_event("controller_subscribed", controller=name)
            self.mesh.update_peer_address(PeerAddress(name, name, self.port))
        self.controllers_ |= names

    def _run(self):
        requested_at = {}
        while True:
            now = time.monotonic()
            for name in sorted(self.controllers_):
                interval_s = (
                    REQUEST_INTERVAL_S if self._is_connected(name, now) else CONNECT_INTERVAL_S
                )
                if now >= requested_at.get(name, 0.0) + interval_s:
                    requested_at[name] = now
                    self._request(name)
            gevent.sleep(CONNECT_INTERVAL_S)

    def _request(self, name):
        """Request updates from a controller and acknowledge what this node holds."""
        boot_id, revision, crash_revision = self._revisions.get(name, ("", 0, 0))
        version, drain_index = self.view.version, self.view.drain_index_
        self.mesh.send(
            name,
            ViewRequested(
                self.is_router,
                boot_id,
                revision,
                version,
                drain_index,
                crash_revision,
                self._wants_crashes(name),
                self.view.router_lists_.get_revision(boot_id),
                self.view.rollouts.index_,
                round(read_boot_time() * MS_PER_S),
                reads_changes=True,
            ),
        )

    def _wants_crashes(self, name):
        """Return whether a controller should send this node records of crashes.

        A router takes them from one controller, or from all while it has none.
        """
        if not self.is_router or name == self.select_load_controller():
            return True
        return not any(crash_revision for _, _, crash_revision in self._revisions.values())

    def deliver(self, sender, update):
        """Apply an update from a controller and acknowledge it.

        A new configuration is acknowledged to all controllers, so that no other one sends it too.
        """
        now = time.monotonic()
        self._record_update(sender, now)
        version = self.view.version
        undrained_zones = self.view.apply(update, now)
        self._record_revisions(sender, update)
        self._update_controllers(set(update.controllers) - {self.name}, now)
        if self.view.version > version:
            log_event("configuration_adopted", version=self.view.version, controller=sender)
            for name in self.controllers_ - {sender}:
                self._request(name)
        self.on_update(update, undrained_zones)
        self._request(sender)

    def _record_revisions(self, sender, update):
        """Record which revisions of a controller this node now holds.

        An update may have been meant for an earlier process of this node, and then leaves out what
        that process held.
        """
        boot_id, revision, crash_revision = self._revisions.get(sender, ("", 0, 0))
        if update.boot_id != boot_id:
            revision = crash_revision = 0
        if update.base_revision <= revision:
            revision = update.revision
        if update.base_crash_revision <= crash_revision:
            crash_revision = update.crash_revision
        self._revisions[sender] = (update.boot_id, revision, crash_revision)

    def _record_update(self, sender, now):
        if not self._is_connected(sender, now):
            log_event("controller_heard", controller=sender)
        self._last_update_at[sender] = now

    def _update_controllers(self, members, now):
        """Subscribe to new members of the group; drop former members that are not connected."""
        self._subscribe(members)
        if not members:
            return
        for name in self.controllers_ - members - self._seeds:
            if not self._is_connected(name, now):
                self.controllers_.discard(name)
                self._revisions.pop(name, None)
                log_event("controller_left", controller=name)

    def _is_connected(self, name, now):
        return now < self._last_update_at.get(name, float("-inf")) + CONTROLLER_TIMEOUT_S

    def list_controller_boots(self):
        """Return the boot id of each controller that has sent an update, by its name."""
        return {name: boot_id for name, (boot_id, *_) in self._revisions.items()}

    def measure_age_ms(self):
        """Return the time since the last update, milliseconds; -1 if none has arrived."""
        last = max(self._last_update_at.values(), default=None)
        return -1 if last is None else round((time.monotonic() - last) * 1_000)

    def list_connected(self):
        """Return the sorted names of the connected controllers."""
        now = time.monotonic()
        return sorted(name for name in self.controllers_ if self._is_connected(name, now))

    def count_connected(self):
        """Return the number of connected controllers."""
        return len(self.list_connected())

    def select_load_controller(self):
        """Return the connected controller that this node reports loads to, or ``None``.

        The choice follows a hash ranking, which spreads the routers over the controllers.
        """
        now = time.monotonic()
        connected = [name for name in self.controllers_ if self._is_connected(name, now)]
        return rank_nodes(hash_key(self.name), connected)[0] if connected else None

    def report_loads(
        self,
        controller,
        loads,
        cached_parts,
        crashes=(),
        rate_limits=(),
        results=(),
        slowdowns=(),
    ):
        """Send this router's load to a controller.

        :param loads: number of running requests, by upstream.
        :param cached_parts: pairs of prompt part and the upstream that caches it.
        :param crashes: iterable of :class:`~sassafrashook.quarantine.CrashRecord`.
        :param rate_limits: iterable of :class:`RateLimitStated`.
        :param results: iterable of :class:`~sassafrashook.ejection.UpstreamResults`.
        :param slowdowns: iterable of :class:`SlowdownStated`.
        """
        parts = [PartCached(part, name) for part, name in cached_parts]
        self.mesh.send(
            controller,
            LoadReported(
                loads, parts, list(crashes), list(rate_limits), list(results), list(slowdowns)
            ),
        )
