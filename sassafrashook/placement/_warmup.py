"""One router's share of what a cold upstream bears."""

from sassafrashook.base import Parametrized
from sassafrashook.utils import Interval, hash_key, rank_nodes

BURST = 1.0  # tokens that an unused share saves


class WarmupShares(Parametrized):
    """Divides the requests that a cold upstream bears between routers, without asking.

    Each router saves at most one token, so in one second all of them together send at most their
    number and what the upstream bears in that second. Where there are more routers than the bound
    leaves room for, a hash of upstream and router picks those that may send at all.

    :param name: name of this router.
    :param factor: the bound is this times what an upstream bears in a second ...
    :param tolerance: ... and this many requests more.

    :ivar routers_: names of all routers, as far as known.

    >>> shares = WarmupShares("r1", factor=1.5, tolerance=5)
    >>> shares.set_routers(["r1", "r2"])
    >>> shares.take("engine", 20.0, now=0.0), shares.take("engine", 20.0, now=0.01)
    (True, False)
    """

    _parameter_constraints = {
        "factor": Interval(float, 1.0),
        "tolerance": Interval(float, 0.0),
    }

    def __init__(self, name, factor, tolerance):
        self.name = name
        self.factor = factor
        self.tolerance = tolerance
        self.routers_ = ()
        self._tokens = {}
        self.validate_parameters()

    def set_routers(self, names):
        """Take the names of all routers, this one included."""
        self.routers_ = tuple(sorted({*names, self.name}))

    def find_rate(self, upstream_id, per_s):
        """Return the requests a second that this router may send to a cold upstream.

        :param per_s: requests a second that the upstream bears; 0 if it bears any number.
        """
        if not self.routers_:
            return 0.0
        room = int(per_s * (self.factor - 1) + self.tolerance) - 1
        if room <= 0:
            return 0.0
        senders = self.routers_
        if len(senders) > room:
            senders = rank_nodes(hash_key(upstream_id), senders)[:room]
        return per_s / len(senders) if self.name in senders else 0.0

    def take(self, upstream_id, per_s, now):
        """Take the right to send one request; :returns: whether there was one."""
        rate = self.find_rate(upstream_id, per_s)
        if rate <= 0:
            return False
        tokens, at = self._tokens.get(upstream_id, (BURST, now))
        tokens = min(BURST, tokens + (now - at) * rate)
        if tokens < BURST:
            self._tokens[upstream_id] = (tokens, now)
            return False
        self._tokens[upstream_id] = (tokens - BURST, now)
        return True
