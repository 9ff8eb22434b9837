"""A node's view of the fleet."""

import math

from gevent.event import Event

from sassafrashook.fleet._configurations import (
    hash_api_key,
    hash_route_key,
    unpack,
)
from sassafrashook.fleet._freshness import DEFAULT_APPLY_S, ConfigurationAge
from sassafrashook.fleet._router_names import RouterNameLists
from sassafrashook.quarantine import CrashLedger
from sassafrashook.rollouts import RouterRollouts
from sassafrashook.routes import (
    ConfigurationChanges,
    RouteConfiguration,
    RouteHistory,
    RouteTable,
    apply_changes,
    iterate_prefixes,
)

MS_PER_S = 1_000


class FleetView:
    """A node's view of the fleet, merged from the updates of all controllers.

    Older updates never replace newer ones.

    :param registry: the node's :class:`~sassafrashook.registry.Registry`.
    :param crashes: the node's :class:`~sassafrashook.quarantine.CrashLedger`; a new one if omitted.
    :param rollouts: the node's :class:`~sassafrashook.rollouts.RouterRollouts`; a new one if
        omitted.
    :param apply_s: time after its acknowledgement within which a configuration must be in force, in
        seconds.

    :ivar table_: the current :class:`~sassafrashook.routes.RouteTable`, or ``None``.
    :ivar route_history_: the :class:`~sassafrashook.routes.RouteHistory` of the configurations.
    :ivar configured_: event that is set once there is a route table.
    :ivar drained_zones_: availability zones that are drained.
    :ivar drain_index_: log index of ``drained_zones_``.
    :ivar routers_: names of all routers.
    :ivar router_lists_: the :class:`~sassafrashook.fleet._router_names.RouterNameLists`.
    :ivar age_: the :class:`~sassafrashook.fleet._freshness.ConfigurationAge`.
    """

    def __init__(self, registry, crashes=None, rollouts=None, apply_s=DEFAULT_APPLY_S):
        self.registry = registry
        self.rollouts = rollouts if rollouts is not None else RouterRollouts()
        self.crashes = crashes if crashes is not None else CrashLedger()
        self.table_ = None
        self.route_history_ = RouteHistory()
        self.configured_ = Event()
        self.drained_zones_ = frozenset()
        self.drain_index_ = 0
        self.routers_ = ()
        self.router_lists_ = RouterNameLists()
        self.age_ = ConfigurationAge(apply_s)

    @property
    def version(self):
        """Version of the configuration, 0 if there is none."""
        return self.table_.version if self.table_ is not None else 0

    def may_be_outdated(self, now):
        """Return whether there is, or may be, a newer configuration than this node's.

        :param now: time of :func:`~sassafrashook.utils.read_boot_time`.
        """
        return self.age_.may_be_outdated(self.version, now)

    def is_superseded(self, host, path, api_key, now):
        """Return whether a request must not be served by this node's configuration any more.

        That is so if a newer one is known that may have to be in force, and it changes the route or
        the API key, or what it changes is not known.

        :param host: normalized host of the request.
        :param path: its path without the query.
        :param api_key: its API key, ``None`` or empty if it has none.
        :param now: time of :func:`~sassafrashook.utils.read_boot_time`.
        """
        if not self.age_.is_overdue(self.version, now):
            return False
        hashes = {hash_route_key(host, prefix) for prefix in iterate_prefixes(path)}
        if api_key:
            hashes.add(hash_api_key(api_key))
        return self.age_.is_affected(self.version, hashes, now)

    def apply(self, update, now):
        """Apply an update from a controller.

        :param update: a :class:`~sassafrashook.fleet._messages.ViewChanged`.
        :param now: monotonic seconds.
        :returns: the zones that the update put back into service.
        """
        self.rollouts.merge(update.rollouts, update.rollout_index)
        for registration in update.registrations:
            self.registry.merge(registration, now)
        for record in update.crashes:
            self.crashes.merge(record, now)
        if update.configuration_version > self.version:
            self._adopt_configuration(update, now)
        confirmed_ms = update.confirmed_at_ms
        confirmed_at = confirmed_ms / MS_PER_S if confirmed_ms else -math.inf
        self.age_.record(
            self.version,
            update.newest_version,
            confirmed_at,
            update.base_version,
            update.superseded,
        )
        self.router_lists_.apply(update, now)
        self.routers_ = self.router_lists_.names_
        if update.drain_index <= self.drain_index_:
            return frozenset()
        undrained_zones = self.drained_zones_ - set(update.drained_zones)
        self.drain_index_ = update.drain_index
        self.drained_zones_ = frozenset(update.drained_zones)
        return undrained_zones

    def _adopt_configuration(self, update, now):
        """Adopt the configuration of an update, unless it changes a version that is not held."""
        changed_keys = None
        if update.base_version == 0:
            configuration = unpack(update.configuration, RouteConfiguration)
        elif update.base_version == self.version:
            changes = unpack(update.configuration, ConfigurationChanges)
            configuration = apply_changes(self.table_.configuration, changes)
            changed_keys = changes.list_route_keys()
        else:
            return
        table = RouteTable(configuration)
        self.route_history_.record_change(self.table_, table, now, changed_keys)
        self.table_ = table
        self.configured_.set()
