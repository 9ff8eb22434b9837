"""Hints about which upstream has a conversation's prefix in its cache."""

from sassafrashook.routing._recent import RecencyMap


class PrefixCacheHints:
    """Maps recent conversations to the upstream last known to hold their cached prefix.

    A hint may be wrong: it only moves an upstream to the front of the preference order.

    :param size_max: largest number of conversations kept.
    """

    __slots__ = ("hints_",)

    def __init__(self, size_max):
        self.hints_ = RecencyMap(size_max)

    def put(self, key, upstream):
        """Record that an upstream holds a conversation's prefix.

        :param key: key of the conversation.
        :param upstream: the :class:`UpstreamState`.
        """
        self.hints_.put(key, (upstream, upstream.cache_clears_))

    def drop(self, key, upstream):
        """Remove the hint of a conversation if it names this upstream.

        :param key: key of the conversation.
        :param upstream: the :class:`UpstreamState`.
        """
        if self.get(key) is upstream:
            self.hints_.drop(key)

    def get(self, key):
        """Return the upstream that probably holds a conversation's prefix, or ``None``.

        A hint is void once the upstream has cleared its cache or is no longer placeable.

        :param key: key of the conversation.
        """
        entry = self.hints_.get(key)
        if entry is None or entry[0].cache_clears_ != entry[1] or not entry[0].is_placeable_:
            return None
        return entry[0]
