"""Selection of gossip targets and detection of nodes that have failed."""

from dataclasses import dataclass

LOSS_REPORT_INTERVAL_S = 60.0
SELECTIONS_PER_RETRY = 8  # one selection in this many, on average, includes an unreachable node
VIEW_SIZE = 12
VIEW_REPLACEMENT_ATTEMPTS = 8
ROUNDS_PER_ROTATION = 16  # mean number of rounds between two replacements in the view


@dataclass(slots=True)
class PeerState:
    """Reachability of another node, as observed by this one.

    :param last_heard_at: when the last message arrived, seconds; negative infinity if never.
    :param reachable: whether no probe has failed since the last message.
    :param next_report_at: earliest time at which its loss may be reported again, seconds.
    """

    last_heard_at: float = float("-inf")
    reachable: bool = True
    next_report_at: float = float("-inf")


class PeerMonitor:
    """Selects gossip targets and detects nodes that don't reply.

    Targets come from a small partial view, which changes slowly, so that the number of
    connections doesn't grow with the number of nodes. A node that doesn't reply in time is probed
    on a new connection before its loss is reported.

    :param rng: source of random numbers.
    :param reply_timeout_s: time after which a missing reply leads to a probe, seconds.
    :param probe_timeout_s: maximum duration of a probe, seconds.

    Attributes:

    :ivar states_: a :class:`PeerState` for each known node, by name.
    :ivar reply_deadlines_: deadlines of the expected replies, by name, seconds.
    :ivar probe_deadlines_: deadlines of the probes in progress, by name, seconds.
    """

    def __init__(self, rng, reply_timeout_s, probe_timeout_s):
        self.rng = rng
        self.reply_timeout_s = reply_timeout_s
        self.probe_timeout_s = probe_timeout_s
        self.states_ = {}
        self.reply_deadlines_ = {}
        self.probe_deadlines_ = {}
        self._names = []
        self._positions = {}
        self._view = []
        self._unreachable = []

    def add(self, name):
        """Add a node to the candidates; no effect if it is known."""
        if name in self.states_:
            return
        self.states_[name] = PeerState()
        self._positions[name] = len(self._names)
        self._names.append(name)
        if len(self._view) < VIEW_SIZE:
            self._view.append(name)
        elif self.rng.randrange(len(self._names)) < VIEW_SIZE:
            self._view[self.rng.randrange(VIEW_SIZE)] = name

    def remove(self, name):
        """Remove a node from the candidates; no effect if it isn't known."""
        if self.states_.pop(name, None) is None:
            return
        index, last = self._positions.pop(name), self._names.pop()
        if last != name:
            self._names[index] = last
            self._positions[last] = index
        self.reply_deadlines_.pop(name, None)
        self.probe_deadlines_.pop(name, None)
        if name in self._unreachable:
            self._unreachable.remove(name)
        self._replace_in_view(name)

    def rotate_view(self):
        """Replace a random node of the view, on average every ``ROUNDS_PER_ROTATION`` calls."""
        if len(self._names) > VIEW_SIZE and self.rng.randrange(ROUNDS_PER_ROTATION) == 0:
            self._replace_in_view(self.rng.choice(self._view))

    def sample_view(self, count):
        """Select random nodes of the view, occasionally an unreachable node as well.

        :param count: maximum number of nodes.
        :returns: distinct names.
        """
        names = self.rng.sample(self._view, min(count, len(self._view)))
        has_room = len(names) < count
        if self._unreachable and (has_room or self.rng.randrange(SELECTIONS_PER_RETRY) == 0):
            names[count - 1 :] = [self.rng.choice(self._unreachable)]
        return names

    def sample_all(self, count):
        """Select random nodes among all known ones.

        :param count: maximum number of nodes.
        :returns: distinct names.
        """
        return self.rng.sample(self._names, min(count, len(self._names)))

    def record_message(self, name, now):
        """Record that a message arrived from a node, which is therefore reachable."""
        state = self.states_.get(name)
        if state is None:
            return
        state.last_heard_at = now
        self.reply_deadlines_.pop(name, None)
        self.probe_deadlines_.pop(name, None)
        if not state.reachable:
            state.reachable = True
            self._unreachable.remove(name)
            if len(self._view) < VIEW_SIZE:
                self._view.append(name)

    def should_request_reply(self, name, now):
        """Return whether a node has been silent for so long that it should reply at once."""
        state = self.states_.get(name)
        return state is not None and now - state.last_heard_at > self.reply_timeout_s / 2

    def expect_reply(self, name, now):
        """Start the reply timeout of a node, unless it is unreachable or being probed."""
        state = self.states_.get(name)
        if state is not None and state.reachable and name not in self.probe_deadlines_:
            self.reply_deadlines_.setdefault(name, now + self.reply_timeout_s)

    def take_overdue(self, now):
        """Return the nodes whose reply is overdue, and mark them as being probed."""
        overdue = [name for name, deadline in self.reply_deadlines_.items() if deadline <= now]
        for name in overdue:
            del self.reply_deadlines_[name]
            self.probe_deadlines_[name] = now + self.probe_timeout_s
        for name in [name for name, deadline in self.probe_deadlines_.items() if deadline <= now]:
            del self.probe_deadlines_[name]
        return overdue

    def record_probe_failure(self, name, now):
        """Mark a node as unreachable after a failed probe.

        :returns: whether its loss should be reported to other nodes.
        """
        self.probe_deadlines_.pop(name, None)
        state = self.states_.get(name)
        if state is None:
            return False
        if state.reachable:
            state.reachable = False
            self._unreachable.append(name)
            self._replace_in_view(name)
        if now < state.next_report_at:
            return False
        state.next_report_at = now + LOSS_REPORT_INTERVAL_S
        return True

    def next_deadline(self):
        """Return when :meth:`take_overdue` is due, seconds, or ``None``."""
        return min((*self.reply_deadlines_.values(), *self.probe_deadlines_.values()), default=None)

    def _replace_in_view(self, name):
        if name not in self._view:
            return
        self._view.remove(name)
        for _ in range(min(len(self._names), VIEW_REPLACEMENT_ATTEMPTS)):
            other = self.rng.choice(self._names)
            if self.states_[other].reachable and other != name and other not in self._view:
                self._view.append(other)
                return
