"""What the parts of one owner share."""

from sassafrashook.base import Count
from sassafrashook.configuration import FleetState
from sassafrashook.routing._hints import HolderHints
from sassafrashook.routing._poison import SuspectTable
from sassafrashook.routing._services import ServiceState
from sassafrashook.routing._upstreams import UpstreamTable

DEFAULT_LOAD_BOUND = 1.25
DEFAULT_WAITING_MS = 1_000
DEFAULT_COMPLETION_MS = 60_000
DEFAULT_PRIORITY = 9


class OwnerState:
    """Upstreams, services, suspects and settings of one owner.

    :param rules: the owner's parameters, a :class:`PermitLedger`.

    Attributes
    ----------
    taken_over_ : whether the permits of earlier terms are accounted for.
    configured_ : whether a committed fleet state is known.
    actions_ : what is to be done, in order; the owner hands it out.
    """

    def __init__(self, rules):
        self.rules = rules
        self.taken_over_ = False
        self.configured_ = False
        self.actions_ = []
        self.fleet_state_ = FleetState(revision=0)
        self.load_bound_ = DEFAULT_LOAD_BOUND
        self.classes_ = {}
        self.ranks_ = {}
        self.shares_ = {}
        self.upstreams_ = UpstreamTable(self.load_bound_)
        self.suspects_ = SuspectTable()
        self.hints_ = HolderHints(rules.holder_hints_max)
        self.services_ = {}

    def configure(self, fleet_state):
        """Act on a committed fleet state."""
        self.configured_ = True
        self.fleet_state_ = fleet_state
        configuration = fleet_state.configuration
        if configuration is not None:
            self.load_bound_ = configuration.load_bound
            self.classes_ = {item.name: item for item in configuration.classes}
            self.shares_ = {item.name: item.share for item in configuration.accounts}
            ranked = sorted(configuration.classes, key=lambda c: (c.priority, c.waiting_ms))
            self.ranks_ = {item.name: rank for rank, item in enumerate(ranked)}
        self.upstreams_.set_load_bound(self.load_bound_)
        self.upstreams_.set_zones(fleet_state.drained_zones)
        self.suspects_.set_quarantined(fleet_state.quarantined)

    def may_grant(self):
        """Return whether the owner may grant."""
        return self.taken_over_ and self.configured_

    def get_service(self, name):
        """Return the state of a service, new if need be."""
        service = self.services_.get(name)
        if service is None:
            service = self.services_[name] = ServiceState(name)
        return service

    def find_group(self, query):
        """Return the group among which a request is placed, or ``None``."""
        return self.upstreams_.find_group(query.service, query.model)

    def rank(self, work_class):
        """Return the priority to tell an upstream for a class; smaller is more urgent."""
        return self.ranks_.get(work_class, DEFAULT_PRIORITY)

    def waiting_s(self, query):
        """Return how long a request may wait, by its own word and its class."""
        work_class = self.classes_.get(query.work_class)
        target_ms = work_class.waiting_ms if work_class else DEFAULT_WAITING_MS
        return max(min(query.waiting_ms, target_ms), 0) / 1000

    def completion_s(self, query):
        """Return the completion target of a request's class."""
        work_class = self.classes_.get(query.work_class)
        return (work_class.completion_ms if work_class else DEFAULT_COMPLETION_MS) / 1000

    def count(self, name, attribute):
        """Count one event."""
        self.actions_.append(Count(name, attribute))
