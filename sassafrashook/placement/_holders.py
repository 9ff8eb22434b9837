"""Which upstreams hold the shared parts of prompts, as far as one router knows."""

from collections import OrderedDict

MAX_PARTS = 20_000
MAX_HOLDERS = 32
HELD_S = 30.0  # an upstream drops the least recently used parts; this is well within that


class PromptHolders:
    """Remembers where parts of prompts were read lately.

    :ivar parts_: holders by part, the latest last, each with the time of the last use.

    >>> holders = PromptHolders()
    >>> holders.note(7, ("engine", 1), now=0.0)
    True
    >>> holders.find(7, now=1.0)
    [('engine', 1)]
    """

    def __init__(self):
        self.parts_ = OrderedDict()

    def note(self, part, key, now):
        """Note that an upstream read a part, or used it again.

        :param part: 64-bit number of the part.
        :param key: identifies the boot of the upstream.
        :returns: whether it was not known to hold the part.
        """
        held = self.parts_.setdefault(part, {})
        known_at = held.pop(key, float("-inf"))
        held[key] = now
        while len(held) > MAX_HOLDERS:
            del held[next(iter(held))]
        self.parts_.move_to_end(part)
        while len(self.parts_) > MAX_PARTS:
            self.parts_.popitem(last=False)
        return now >= known_at + HELD_S

    def find(self, part, now):
        """Return the keys of the upstreams that hold a part, the latest first."""
        held = self.parts_.get(part, {})
        return [key for key, at in reversed(held.items()) if now < at + HELD_S]
