"""What upstreams tell of themselves, turned into what the owner counts."""

from sassafrashook.messages import CacheEventKind

DELIVERY_MARGIN_S = 0.5


class UpstreamWatch:
    """Takes announcements, load reports and cache events, late and out of order.

    :param state: the :class:`OwnerState`.
    :param assigner: the :class:`Assigner`.
    :param takeover: the :class:`Takeover`.
    """

    def __init__(self, state, assigner, takeover):
        self.state = state
        self.assigner = assigner
        self.takeover = takeover

    def see(self, announcement, now):
        """Take an announcement."""
        upstreams = self.state.upstreams_
        is_first = upstreams.get(announcement.upstream_id) is None
        known = upstreams.see(announcement, now)
        if known is None:
            self.state.count("announcements_ignored", announcement.upstream_id)
            return
        if is_first:
            self.takeover.note_seen(known)
        elif known.announcement.boot_id == announcement.boot_id:
            self.state.suspects_.note_alive(known)
            known.crashed_ = False
        else:
            self._replace_boot(known, upstreams.get(announcement.upstream_id), now)

    def _replace_boot(self, old, new, now):
        if not old.announcement.leaving and (old.permits_ or old.broken_):
            self.assigner.note_crash(old, now)
        since = now - self.state.rules.use_within_ms / 1000 - DELIVERY_MARGIN_S
        self.assigner.carry_over(old, new, since)

    def lose(self, upstream_id):
        """Take the word of membership that an upstream is gone."""
        self.state.upstreams_.leave(upstream_id)

    def note_load(self, message, now):
        """Take a load report."""
        upstream = self.state.upstreams_.get(message.upstream_id)
        if upstream is None or not upstream.accepts_report(message):
            return
        upstream.warm_up_.state_cold(message.cold)
        self.takeover.note_load(upstream, message, now)
        self.state.upstreams_.refresh(upstream)

    def note_cache(self, message):
        """Take a cache event."""
        upstream = self.state.upstreams_.get(message.upstream_id)
        if upstream is None or message.boot_id != upstream.announcement.boot_id:
            return
        if upstream.note_cache_sequence(message.sequence):
            self.state.upstreams_.refresh(upstream)
        if message.kind == CacheEventKind.STORED:
            self.state.hints_.put(message.conversation_key, upstream)
        elif message.kind == CacheEventKind.EVICTED:
            self.state.hints_.drop(message.conversation_key, upstream)
        else:
            upstream.cache_clears_ += 1
