"""Slow upstreams that routers heard of, on their way to the other nodes."""

import msgspec

MS_PER_S = 1_000
MAX_SLOWDOWNS = 2_000  # boots that are kept at once; others are left out
MAX_AGE_S = 2.0  # an older figure has decayed to 4 in 100 of its difference from the mean


class SlowdownQueue:
    """Latest stated slowdown by boot of an upstream, until it is sent to the other nodes."""

    def __init__(self):
        self._own = {}
        self._all = {}

    def add(self, items, is_own, now):
        """Add figures that a node reported.

        :param items: iterable of :class:`~sassafrashook.fleet._messages.SlowdownStated`.
        :param is_own: whether one of the controller's own routers reported them.
        :param now: monotonic seconds.
        """
        for item in items:
            heard_at = now - item.age_ms / MS_PER_S
            for queue in (self._own, self._all) if is_own else (self._all,):
                _keep_latest(queue, item, heard_at)

    def take_own(self, now):
        """Return and clear what is due to the other controllers, with the ages at ``now``."""
        queue, self._own = self._own, {}
        return _update_ages(queue, now)

    def take_all(self, now):
        """Return and clear what is due to the own routers, with the ages at ``now``."""
        queue, self._all = self._all, {}
        return _update_ages(queue, now)


def _keep_latest(queue, item, heard_at):
    key = (item.upstream_id, item.boot_ms)
    _, known_at = queue.get(key, (None, float("-inf")))
    if heard_at > known_at and (key in queue or len(queue) < MAX_SLOWDOWNS):
        queue[key] = (item, heard_at)


def _update_ages(queue, now):
    return [
        msgspec.structs.replace(item, age_ms=max(0, round((now - heard_at) * MS_PER_S)))
        for item, heard_at in queue.values()
        if now < heard_at + MAX_AGE_S
    ]
