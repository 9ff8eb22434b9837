"""Which nodes answer, as seen from one node."""

from dataclasses import dataclass

REPORT_INTERVAL_S = 60.0
RETRY_SHARE = 8  # one in this many targets is a node that did not answer


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

    A node that doesn't answer in time is probed on a new connection before it is called lost.

    :param rng: source of random numbers.
    :param answer_timeout_s: how long an answer may take, seconds.
    :param probe_timeout_s: how long a probe may take, seconds.
    """

    def __init__(self, rng, answer_timeout_s, probe_timeout_s):
        self.rng = rng
        self.answer_timeout_s = answer_timeout_s
        self.probe_timeout_s = probe_timeout_s
        self.states_ = {}
        self.awaited_ = {}
        self.probed_ = {}
        self._reachable = []
        self._unreachable = []

    def set_names(self, names):
        """Replace the names of the nodes that may be talked to."""
        self.states_ = {name: self.states_.get(name) or PeerState() for name in sorted(names)}
        for pending in (self.awaited_, self.probed_):
            for name in pending.keys() - self.states_.keys():
                del pending[name]
        self._sort()

    def choose(self, count):
        """Pick nodes at random.

        :param count: how many at most.
        :returns: distinct names.
        """
        names = self.rng.sample(self._reachable, min(count, len(self._reachable)))
        has_room = len(names) < count
        if self._unreachable and (has_room or self.rng.randrange(RETRY_SHARE) == 0):
            names[count - 1 :] = [self.rng.choice(self._unreachable)]
        return names

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
            self._sort()

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
            self._sort()
        if now < state.report_after:
            return False
        state.report_after = now + REPORT_INTERVAL_S
        return True

    def next_deadline(self):
        """Return when :meth:`list_overdue` is due, seconds, or ``None``."""
        return min((*self.awaited_.values(), *self.probed_.values()), default=None)

    def _sort(self):
        self._reachable = [name for name, state in self.states_.items() if state.reachable]
        self._unreachable = [name for name, state in self.states_.items() if not state.reachable]
