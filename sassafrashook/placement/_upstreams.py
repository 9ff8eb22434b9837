"""What one router knows of one boot of an upstream."""

from sassafrashook.registry import RegistrationState
from sassafrashook.utils import hash_key

SUSPEND_S = 2.0  # a trial connection ends this sooner
DARK_TRIALS = 2  # in a row; a lossy link loses one opening packet in ten at most
DARK_S = 0.6  # without a byte on any connection
OUTCOME_WEIGHT = 0.2  # of the newest outcome in the moving share of failures
FAILING_SHARE = 0.5
SETTLED_S = 5.0  # most sessions return within this time
REPORT_VALID_S = 1.0  # a load that an answer told says little after this time


class UpstreamState:
    """One boot of an upstream, as one router sees it.

    :param entry: its :class:`~sassafrashook.registry.Registration`.
    :param cold_until: monotonic seconds until which it is cold.
    :param known_since: monotonic seconds since which this router knows it.

    :ivar rank: 64-bit number that decides its place in the order of each session.
    :ivar tried_at_: when it last got a request while it was distrusted.
    :ivar running_: requests of this router that run there.
    :ivar others_: requests of other routers that run there, as last shared.
    :ivar reported_: all that run and wait there, as its last answer told, and when it did.
    :ivar needs_trial_: whether a connection broke that says nothing of the others.
    :ivar is_replaced_: whether another boot answered at its address; it gets nothing until it is
        heard of again.
    :ivar distrusted_: whether it failed in a way that a restart would explain, and has not been
        heard of since.
    """

    __slots__ = (
        "entry",
        "cold_until",
        "known_since",
        "rank",
        "tried_at_",
        "running_",
        "others_",
        "reported_",
        "reported_at_",
        "suspended_until_",
        "needs_trial_",
        "failed_trials_",
        "heard_at_",
        "failing_",
        "distrusted_",
        "is_replaced_",
        "presumed_cold_until_",
    )

    def __init__(self, entry, cold_until, known_since):
        self.entry = entry
        self.cold_until = cold_until
        self.known_since = known_since
        self.rank = hash_key(entry.upstream_id)
        self.tried_at_ = float("-inf")
        self.running_ = 0
        self.others_ = 0
        self.reported_ = 0
        self.reported_at_ = float("-inf")
        self.suspended_until_ = float("-inf")
        self.needs_trial_ = False
        self.failed_trials_ = 0
        self.heard_at_ = float("-inf")
        self.failing_ = 0.0
        self.distrusted_ = False
        self.is_replaced_ = False
        self.presumed_cold_until_ = float("-inf")

    @property
    def key(self):
        """Identifies the boot, for idle connections."""
        return (self.entry.upstream_id, self.entry.boot_ms)

    def load(self, are_shared, now):
        """Return the best estimate of what runs there, from all routers.

        :param are_shared: whether ``others_`` is fresh; if not, the last answer's word is used.
        """
        if are_shared:
            return self.running_ + self.others_
        is_fresh = now < self.reported_at_ + REPORT_VALID_S
        return max(self.running_, self.reported_ if is_fresh else 0)

    def is_settled(self, now):
        """Return whether it has been there long enough to hold the sessions that hash to it."""
        return now >= self.known_since + SETTLED_S

    def is_cold(self, now):
        """Return whether it is cold, or must be presumed to be."""
        return now < max(self.cold_until, self.presumed_cold_until_)

    def is_expired(self, now):
        """Return whether it was recalled and not heard of in time."""
        return self.entry.state == RegistrationState.RECALLED and now >= self.cold_until

    def is_suspended(self, now):
        """Return whether it gets nothing for now."""
        return now < self.suspended_until_

    def note_report(self, running, waiting, now):
        """Take the load that an answer told."""
        self.reported_ = running + waiting
        self.reported_at_ = now

    def note_unreachable(self, now):
        """Note that no connection could be opened."""
        self.suspended_until_ = now + SUSPEND_S
        self.distrusted_ = True

    def note_broken(self):
        """Note that a connection broke without an answer; a trial shows whether it is down."""
        self.needs_trial_ = True

    def note_trial(self, succeeded, now):
        """Note whether a connection could be opened on trial.

        One that was down and is back stays distrusted until it is heard of again: it may have
        started anew, cold.
        """
        self.needs_trial_ = False
        if not succeeded:
            self.failed_trials_ += 1
            self.note_unreachable(now)
            return
        self.failed_trials_ = 0
        self.suspended_until_ = float("-inf")

    def is_dark(self, now):
        """Return whether its host answers nothing, so that what runs there is lost."""
        return self.failed_trials_ >= DARK_TRIALS and now >= self.heard_at_ + DARK_S

    def note_outcome(self, succeeded):
        """Note an answer, and whether it was the one that the request deserved."""
        if succeeded:
            self.distrusted_ = False
        self.failing_ += OUTCOME_WEIGHT * ((0.0 if succeeded else 1.0) - self.failing_)

    def is_failing(self):
        """Return whether most of its latest answers were failures."""
        return self.failing_ > FAILING_SHARE
