"""Processes announcements, load reports and cache events of upstreams."""

from sassafrashook.messages import CacheEventKind

DELIVERY_MARGIN_S = 0.5


class UpstreamTracker:
    """Updates the owner's state from upstream messages, which may arrive late or out of order.

    :param state: the :class:`OwnerState`.
    :param assigner: the :class:`Assigner`.
    :param takeover: the :class:`Takeover`.
    """

    def __init__(self, state, assigner, takeover):
        self.state = state
        self.assigner = assigner
        self.takeover = takeover

    def handle_announcement(self, announcement, now):
        """Apply an announcement and detect a restart of the upstream."""
        upstreams = self.state.upstreams_
        is_first = upstreams.get(announcement.upstream_id) is None
        known = upstreams.apply_announcement(announcement, now)
        if known is None:
            self.state.count("announcements_ignored", announcement.upstream_id)
            return
        if is_first:
            self.takeover.handle_first_announcement(known)
        elif known.announcement.boot_id == announcement.boot_id:
            self.state.suspects_.clear_interrupted(known)
            known.crashed_ = False
        else:
            self._replace_boot(known, upstreams.get(announcement.upstream_id), now)

    def _replace_boot(self, old, new, now):
        if not old.announcement.leaving and (old.permits_ or old.interrupted_responses_):
            self.assigner.record_upstream_crash(old, now)
        since = now - self.state.ledger.use_within_ms / 1000 - DELIVERY_MARGIN_S
        self.assigner.transfer_permits(old, new, since)

    def handle_departure(self, upstream_id):
        """Process the departure of an upstream, as reported by the membership service."""
        self.state.upstreams_.mark_departed(upstream_id)

    def handle_load_report(self, message, now):
        """Apply a load report unless it is out of date."""
        upstream = self.state.upstreams_.get(message.upstream_id)
        if upstream is None or not upstream.store_load_report(message):
            return
        upstream.warm_up_.set_reported_cold(message.cold)
        self.takeover.handle_load_report(upstream, message, now)
        self.state.upstreams_.refresh(upstream)

    def handle_cache_event(self, message):
        """Update the holder hints from a cache event of the current boot."""
        upstream = self.state.upstreams_.get(message.upstream_id)
        if upstream is None or message.boot_id != upstream.announcement.boot_id:
            return
        if upstream.track_cache_sequence(message.sequence):
            self.state.upstreams_.refresh(upstream)
        if message.kind == CacheEventKind.STORED:
            self.state.hints_.put(message.conversation_key, upstream)
        elif message.kind == CacheEventKind.EVICTED:
            self.state.hints_.drop(message.conversation_key, upstream)
        else:
            upstream.cache_clears_ += 1
