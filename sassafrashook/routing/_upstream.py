"""The owner's state of one upstream."""

from sassafrashook.routing._warmup import WarmUp
from sassafrashook.utils import hash_key

# A cache event with a number up to CACHE_RESTART_MAX_SEQUENCE after one of at least
# CACHE_RESTART_MIN_SEEN means that the numbering restarted.
CACHE_RESTART_MAX_SEQUENCE = 2
CACHE_RESTART_MIN_SEEN = 64


class UpstreamState:
    """Load, limit and health of one boot of an upstream.

    :param announcement: the newest :class:`~sassafrashook.messages.UpstreamAnnouncement`.

    :ivar point: position on the hash ring.
    :ivar warm_up_: the :class:`WarmUp` that limits its load.
    :ivar permits_: permits counted as running, as an ordered set of :class:`PermitRecord` keys.
    :ivar presumed_load_: requests that routers missing since an earlier term may still run on it.
    :ivar reserved_: whether it is reserved for a suspect request.
    :ivar departed_: whether it left or its announcement expired.
    :ivar drained_: whether its availability zone is drained.
    :ivar is_placeable_: whether placement groups list it as available; it may still be full.
    :ivar reported_running_: requests running by its last load report, ``None`` before the first.
    :ivar interrupted_responses_: time in seconds of recent responses that ended with outcome
        ``broke`` or ``silent``, by request fingerprint.
    :ivar crashed_: whether this boot is known to have crashed.
    :ivar unreachable_: whether a router recently failed to connect to it.
    :ivar grouped_load_: load currently included in the sums of its placement groups.
    :ivar grouped_limit_: limit currently included in the sums of its placement groups.
    :ivar grouped_load_if_free_: load under which its placement groups currently list it, or -1 if
        they do not because it is not free (see :attr:`load_if_free`).
    :ivar groups_: the placement groups that it belongs to.
    :ivar cache_sequence_: highest sequence number of its cache events.
    :ivar cache_clears_: number of times its cache was cleared; older holder hints are invalid.
    :ivar report_sequence_: sequence number of its last load report.
    """

    __slots__ = (
        "announcement",
        "upstream_id",
        "point",
        "warm_up_",
        "permits_",
        "presumed_load_",
        "reserved_",
        "departed_",
        "drained_",
        "is_placeable_",
        "interrupted_responses_",
        "crashed_",
        "unreachable_",
        "grouped_load_",
        "grouped_limit_",
        "grouped_load_if_free_",
        "groups_",
        "cache_sequence_",
        "cache_clears_",
        "report_sequence_",
        "reported_running_",
    )

    def __init__(self, announcement):
        self.announcement = announcement
        self.upstream_id = announcement.upstream_id
        self.point = hash_key("upstream", announcement.upstream_id)
        self.warm_up_ = WarmUp(announcement.capacity, announcement.cold_capacity)
        self.warm_up_.set_reported_cold(announcement.cold)
        self.permits_ = {}
        self.presumed_load_ = 0
        self.reserved_ = False
        self.departed_ = False
        self.drained_ = False
        self.is_placeable_ = False
        self.interrupted_responses_ = {}
        self.crashed_ = False
        self.unreachable_ = False
        self.grouped_load_ = 0
        self.grouped_limit_ = 0
        self.grouped_load_if_free_ = -1
        self.groups_ = []
        self.cache_sequence_ = 0
        self.cache_clears_ = 0
        self.report_sequence_ = 0
        self.reported_running_ = None

    @property
    def load(self):
        """Number of requests counted as running on it."""
        return len(self.permits_) + self.presumed_load_

    @property
    def load_if_free(self):
        """Its load if it is free, else -1.

        It is free if it is placeable, below its limit, not reserved and not running an isolated
        request.
        """
        load = self.load
        if not self.is_placeable_ or load >= self.warm_up_.limit_:
            return -1
        return -1 if self.reserved_ or self.runs_isolated() else load

    def is_available(self):
        """Return whether it is present, reachable, not leaving and not in a drained zone."""
        is_unavailable = self.departed_ or self.unreachable_
        return not (is_unavailable or self.drained_ or self.announcement.leaving)

    def count_current_boot(self):
        """Return how many running requests were granted for its current boot."""
        running = [record for record in self.permits_ if not record.is_ended]
        return sum(record.is_current_boot() for record in running)

    def store_load_report(self, report):
        """Store a load report unless it is out of date.

        :returns: whether the report is from the current boot and newer than the last one.
        """
        is_newer = report.sequence > self.report_sequence_
        if report.boot_id != self.announcement.boot_id or not is_newer:
            return False
        self.report_sequence_ = report.sequence
        self.reported_running_ = report.running
        return True

    def track_cache_sequence(self, sequence):
        """Track the sequence number of a cache event.

        If the numbering restarts, the cache was lost and the warm-up restarts.

        :returns: whether the numbering restarted.
        """
        has_restarted = (
            sequence <= CACHE_RESTART_MAX_SEQUENCE
            and self.cache_sequence_ >= CACHE_RESTART_MIN_SEEN
        )
        if has_restarted:
            self.cache_sequence_ = sequence
            self.cache_clears_ += 1
            self.warm_up_.reset()
        self.cache_sequence_ = max(self.cache_sequence_, sequence)
        return has_restarted

    def runs_isolated(self):
        """Return whether an isolated request is running on it."""
        return len(self.permits_) == 1 and next(iter(self.permits_)).isolated

    def serves_model(self, model):
        """Return whether it serves a model, given with or without its version."""
        return not model or any(
            held == model or held.partition("@")[0] == model for held in self.announcement.models
        )

    def is_superseded_by(self, announcement):
        """Return whether an announcement supersedes the current one."""
        known = self.announcement
        if announcement.boot_id == known.boot_id:
            return announcement.sequence > known.sequence
        return announcement.incarnation > known.incarnation
