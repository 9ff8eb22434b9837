"""State that the components of one owner share."""

from sassafrashook.base import Count
from sassafrashook.configuration import FleetState
from sassafrashook.routing._hints import PrefixCacheHints
from sassafrashook.routing._poison import SuspectTable
from sassafrashook.routing._services import ServiceState
from sassafrashook.routing._upstreams import UpstreamTable

DEFAULT_LOAD_BOUND = 1.25
DEFAULT_WAITING_MS = 1_000
DEFAULT_COMPLETION_MS = 60_000
DEFAULT_PRIORITY = 9


class OwnerState:
    """Upstreams, services, suspects and settings of one owner.

    :param ledger: the :class:`PermitLedger`, read for its parameters.

    :ivar takeover_complete_: whether the permits of earlier terms are accounted for.
    :ivar configured_: whether a committed fleet state is known.
    :ivar actions_: actions to perform, in order; the ledger returns and clears them.
    :ivar fleet_state_: the newest committed fleet state.
    :ivar load_bound_: allowed ratio of an upstream's load to the mean load.
    :ivar classes_: configured work classes by name.
    :ivar priorities_: priority of each work class by name, 0 for the most urgent.
    :ivar shares_: shares of the configured client accounts by name.
    :ivar upstreams_: the :class:`UpstreamTable`.
    :ivar suspects_: the :class:`SuspectTable`.
    :ivar hints_: the :class:`PrefixCacheHints`.
    :ivar services_: :class:`ServiceState` by service name.
    """

    def __init__(self, ledger):
        self.ledger = ledger
        self.takeover_complete_ = False
        self.configured_ = False
        self.actions_ = []
        self.fleet_state_ = FleetState(revision=0)
        self.load_bound_ = DEFAULT_LOAD_BOUND
        self.classes_ = {}
        self.priorities_ = {}
        self.shares_ = {}
        self.upstreams_ = UpstreamTable(self.load_bound_)
        self.suspects_ = SuspectTable()
        self.hints_ = PrefixCacheHints(ledger.max_holder_hints)
        self.services_ = {}

    def configure(self, fleet_state):
        """Apply a committed fleet state."""
        self.configured_ = True
        self.fleet_state_ = fleet_state
        configuration = fleet_state.configuration
        if configuration is not None:
            self.load_bound_ = configuration.load_bound
            self.classes_ = {item.name: item for item in configuration.classes}
            self.shares_ = {item.name: item.share for item in configuration.accounts}
            by_urgency = sorted(
                configuration.classes,
                key=lambda work_class: (work_class.priority, work_class.waiting_ms),
            )
            self.priorities_ = {item.name: rank for rank, item in enumerate(by_urgency)}
        self.upstreams_.set_load_bound(self.load_bound_)
        self.upstreams_.set_drained_zones(fleet_state.drained_zones)
        self.suspects_.set_quarantined(fleet_state.quarantined)

    def may_grant(self):
        """Return whether the owner may grant permits."""
        return self.takeover_complete_ and self.configured_

    def get_service(self, name):
        """Return the state of a service, creating it on first use."""
        service = self.services_.get(name)
        if service is None:
            service = self.services_[name] = ServiceState(name)
        return service

    def find_group(self, query):
        """Return the placement group of a request, or ``None`` if no upstream can serve it."""
        return self.upstreams_.find_group(query.service, query.model)

    def get_priority(self, work_class):
        """Return the priority of a work class as sent to upstreams; smaller is more urgent."""
        return self.priorities_.get(work_class, DEFAULT_PRIORITY)

    def compute_waiting_target_s(self, query):
        """Return the waiting target of a request in seconds.

        The waiting target is the maximum time until the first token: the smaller of the request's
        own limit and the target of its work class.
        """
        work_class = self.classes_.get(query.work_class)
        target_ms = work_class.waiting_ms if work_class else DEFAULT_WAITING_MS
        return max(min(query.waiting_ms, target_ms), 0) / 1000

    def get_completion_target_s(self, query):
        """Return the completion target of a request's class in seconds."""
        work_class = self.classes_.get(query.work_class)
        return (work_class.completion_ms if work_class else DEFAULT_COMPLETION_MS) / 1000

    def count(self, name, attribute):
        """Add an action that increments a counter.

        :param name: name of the counter.
        :param attribute: value of the counter's attribute.
        """
        self.actions_.append(Count(name, attribute))
