"""Which nodes answer, as seen from one node."""

from dataclasses import dataclass

REPORT_INTERVAL_S = 60.0
RETRY_SHARE = 8  # one in this many targets is a node that did not answer
VIEW_SIZE = 12
VIEW_TRIES = 8
ROTATE_SHARE = 16  # one in this many rounds replaces one node of the view


@dataclass(slots=True)
class PeerState:
    """What this node knows of the way to another.

    :param heard_at: when a message last came, seconds; negative infinity if never.
    :param reachable: whether it answered last time.
    :param report_after: from when on its loss may be reported again, seconds.
    """

    heard_at: float = float("-inf")
    reachable: bool = True
    report_after: float = float("-inf")


class Liveness:
    """Picks nodes to talk to and watches for answers.

    Nodes are picked from a small view, which changes slowly, so that the number of connections
    doesn't grow with the number of nodes. A node that doesn't answer in time is probed on a new
    connection before it is called lost.

    :param rng: source of random numbers.
    :param answer_timeout_s: how long an answer may take, seconds.
    :param probe_timeout_s: how long a probe may take, seconds.

    Attributes:

    :ivar states_: a :class:`PeerState` for each known name.
    """

    def __init__(self, rng, answer_timeout_s, probe_timeout_s):
        self.rng = rng
        self.answer_timeout_s = answer_timeout_s
        self.probe_timeout_s = probe_timeout_s
        self.states_ = {}
        self.awaited_ = {}
        self.probed_ = {}
        self._names = []
        self._positions = {}
        self._view = []
        self._unreachable = []

    def add(self, name):
        """Let a node be talked to; no effect if it is known."""
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
        """Talk to a node no longer; no effect if it isn't known."""
        if self.states_.pop(name, None) is None:
            return
        position, last = self._positions.pop(name), self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position
        self.awaited_.pop(name, None)
        self.probed_.pop(name, None)
        if name in self._unreachable:
            self._unreachable.remove(name)
        self._leave_view(name)

    def rotate(self):
        """Once in a while replace one node of the view."""
        if len(self._names) > VIEW_SIZE and self.rng.randrange(ROTATE_SHARE) == 0:
            self._leave_view(self.rng.choice(self._view))

    def choose(self, count):
        """Pick nodes at random.

        :param count: how many at most.
        :returns: distinct names.
        """
        names = self.rng.sample(self._view, min(count, len(self._view)))
        has_room = len(names) < count
        if self._unreachable and (has_room or self.rng.randrange(RETRY_SHARE) == 0):
            names[count - 1 :] = [self.rng.choice(self._unreachable)]
        return names

    def choose_any(self, count):
        """Pick known nodes at random, in the view or not.

        :param count: how many at most.
        :returns: distinct names.
        """
        return self.rng.sample(self._names, min(count, len(self._names)))

    def hear(self, name, now):
        """Note that a message came from a node."""
        state = self.states_.get(name)
        if state is None:
            return
        state.heard_at = now
        self.awaited_.pop(name, None)
        self.probed_.pop(name, None)
        if not state.reachable:
            state.reachable = True
            self._unreachable.remove(name)
            if len(self._view) < VIEW_SIZE:
                self._view.append(name)

    def wants_answer(self, name, now):
        """Return whether a node was not heard of for so long that it should answer at once."""
        state = self.states_.get(name)
        return state is not None and now - state.heard_at > self.answer_timeout_s / 2

    def expect(self, name, now):
        """Note that a node was asked to answer."""
        state = self.states_.get(name)
        if state is not None and state.reachable and name not in self.probed_:
            self.awaited_.setdefault(name, now + self.answer_timeout_s)

    def list_overdue(self, now):
        """Return the nodes that must be probed now; each once."""
        overdue = [name for name, deadline in self.awaited_.items() if deadline <= now]
        for name in overdue:
            del self.awaited_[name]
            self.probed_[name] = now + self.probe_timeout_s
        for name in [name for name, deadline in self.probed_.items() if deadline <= now]:
            del self.probed_[name]
        return overdue

    def lose(self, name, now):
        """Note that a node did not answer on a new connection either.

        :returns: whether its loss should be reported to others.
        """
        self.probed_.pop(name, None)
        state = self.states_.get(name)
        if state is None:
            return False
        if state.reachable:
            state.reachable = False
            self._unreachable.append(name)
            self._leave_view(name)
        if now < state.report_after:
            return False
        state.report_after = now + REPORT_INTERVAL_S
        return True

    def next_deadline(self):
        """Return when :meth:`list_overdue` is due, seconds, or ``None``."""
        return min((*self.awaited_.values(), *self.probed_.values()), default=None)

    def _leave_view(self, name):
        if name not in self._view:
            return
        self._view.remove(name)
        for _ in range(min(len(self._names), VIEW_TRIES)):
            other = self.rng.choice(self._names)
            if self.states_[other].reachable and other != name and other not in self._view:
                self._view.append(other)
                return
