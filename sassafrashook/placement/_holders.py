"""Which upstreams hold the shared parts of prompts, as far as one router knows."""

from collections import OrderedDict

MAX_PARTS = 20_000
NEVER = (float("-inf"), float("-inf"))
MAX_HOLDERS = 32
HELD_S = 30.0  # an upstream drops the least recently used parts; this is well within that
TELL_S = 10.0  # between two times that the same use is told; well within the time it is believed


class PromptHolders:
    """Remembers where parts of prompts were read lately.

    :ivar parts_: by part its holders, the latest last, each with a pair of times: its last use, and
        when that was last told to other routers or by them.

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
        :returns: whether other routers should be told.
        """
        held = self.parts_.setdefault(part, {})
        _, told_at = held.pop(key, NEVER)
        is_due = now >= told_at + TELL_S
        held[key] = (now, now if is_due else told_at)
        while len(held) > MAX_HOLDERS:
            del held[next(iter(held))]
        self.parts_.move_to_end(part)
        while len(self.parts_) > MAX_PARTS:
            self.parts_.popitem(last=False)
        return is_due

    def find(self, part, now):
        """Return the keys of the upstreams that hold a part, the latest first."""
        held = self.parts_.get(part, {})
        return [key for key, (used_at, _) in reversed(held.items()) if now < used_at + HELD_S]
