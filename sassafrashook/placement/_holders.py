"""Which upstreams hold the shared part of a prompt, as far as one router knows."""

from collections import OrderedDict

MAX_SESSIONS = 20_000
MAX_HOLDERS = 3
HELD_S = 30.0  # an upstream drops the least recently used parts; this is well within that


class PromptHolders:
    """Remembers where sessions were sent lately.

    :ivar sessions_: holders by session, the latest last, each with the time of the last use.

    >>> holders = PromptHolders()
    >>> holders.note(7, ("engine", 1), now=0.0)
    >>> holders.find(7, now=1.0)
    [('engine', 1)]
    """

    def __init__(self):
        self.sessions_ = OrderedDict()

    def note(self, session, key, now):
        """Note that an upstream began to run a request of a session.

        :param key: identifies the boot of the upstream.
        """
        held = self.sessions_.setdefault(session, {})
        held.pop(key, None)
        held[key] = now
        while len(held) > MAX_HOLDERS:
            del held[next(iter(held))]
        self.sessions_.move_to_end(session)
        while len(self.sessions_) > MAX_SESSIONS:
            self.sessions_.popitem(last=False)

    def find(self, session, now):
        """Return the keys of the upstreams that hold a session, the latest first."""
        held = self.sessions_.get(session, {})
        return [key for key, at in reversed(held.items()) if now < at + HELD_S]
