"""What the owner knows of one upstream."""

from sassafrashook.routing._warmup import WarmUp
from sassafrashook.utils import hash_key

CACHE_RESTART_SEQUENCE = 2
CACHE_RESTART_SEEN = 64


class UpstreamState:
    """One upstream as the owner counts it.

    :param announcement: the newest :class:`~sassafrashook.messages.UpstreamAnnouncement`.

    Attributes
    ----------
    permits_ : permits counted as running, :class:`PermitRecord` keys of a dictionary.
    charge_ : requests that routers of an earlier term may still run there.
    reserved_ : whether only a suspect request may be placed there.
    reported_ : requests running by its last report, ``None`` before one came.
    broken_ : fingerprints whose answers broke there lately, with the time of it.
    crashed_ : whether this boot is known to have crashed.
    counted_load, counted_limit, counted_room : the numbers under which the groups hold it.
    """

    __slots__ = (
        "announcement",
        "upstream_id",
        "point",
        "warm_up_",
        "permits_",
        "charge_",
        "reserved_",
        "gone_",
        "drained_",
        "live_",
        "broken_",
        "crashed_",
        "counted_load",
        "counted_limit",
        "counted_room",
        "groups_",
        "cache_sequence_",
        "cache_clears_",
        "report_sequence_",
        "reported_",
    )

    def __init__(self, announcement):
        self.announcement = announcement
        self.upstream_id = announcement.upstream_id
        self.point = hash_key("upstream", announcement.upstream_id)
        self.warm_up_ = WarmUp(announcement.capacity, announcement.cold_capacity)
        self.warm_up_.state_cold(announcement.cold)
        self.permits_ = {}
        self.charge_ = 0
        self.reserved_ = False
        self.gone_ = False
        self.drained_ = False
        self.live_ = False
        self.broken_ = {}
        self.crashed_ = False
        self.counted_load = 0
        self.counted_limit = 0
        self.counted_room = -1
        self.groups_ = []
        self.cache_sequence_ = 0
        self.cache_clears_ = 0
        self.report_sequence_ = 0
        self.reported_ = None

    @property
    def load(self):
        """Requests counted as running there."""
        return len(self.permits_) + self.charge_

    @property
    def room(self):
        """Its load if it may take one more, else -1."""
        load = self.load
        if not self.live_ or load >= self.warm_up_.limit_:
            return -1
        return -1 if self.reserved_ or self.runs_isolated() else load

    def takes_new_work(self):
        """Return whether it is there, not leaving, and in an open zone."""
        return not (self.gone_ or self.drained_ or self.announcement.leaving)

    def count_of_this_boot(self):
        """Return how many permits were granted for its present boot."""
        return sum(record.is_of_this_boot() for record in self.permits_)

    def accepts_report(self, report):
        """Take note of a load report's order.

        :returns: whether it is of this boot and newer than the last one.
        """
        is_newer = report.sequence > self.report_sequence_
        if report.boot_id != self.announcement.boot_id or not is_newer:
            return False
        self.report_sequence_ = report.sequence
        self.reported_ = report.running
        return True

    def note_cache_sequence(self, sequence):
        """Take note of a cache event's order; a restarted numbering means a cold upstream.

        :returns: whether the upstream was found to be cold.
        """
        has_restarted = (
            sequence <= CACHE_RESTART_SEQUENCE and self.cache_sequence_ >= CACHE_RESTART_SEEN
        )
        if has_restarted:
            self.cache_sequence_ = sequence
            self.cache_clears_ += 1
            self.warm_up_.restart()
        self.cache_sequence_ = max(self.cache_sequence_, sequence)
        return has_restarted

    def runs_isolated(self):
        """Return whether a request that must run alone runs there."""
        return len(self.permits_) == 1 and next(iter(self.permits_)).isolated

    def holds_model(self, model):
        """Return whether it holds a model, named with or without its version."""
        return not model or any(
            held == model or held.partition("@")[0] == model for held in self.announcement.models
        )

    def is_newer(self, announcement):
        """Return whether an announcement follows the one known."""
        known = self.announcement
        if announcement.boot_id == known.boot_id:
            return announcement.sequence > known.sequence
        return announcement.incarnation > known.incarnation
