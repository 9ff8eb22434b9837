"""One router's network path to one upstream."""

# Consecutive failed probes after which a host counts as unresponsive. A lossy link loses at most
# one connection-opening packet in ten, so one failed probe is not enough.
UNRESPONSIVE_PROBES = 2
UNRESPONSIVE_S = 0.6  # minimum time without response body data from an unresponsive host


class Path:
    """State of one router's path to one boot of an upstream.

    :ivar contact_at_: when a connection was last opened or data was last received, in monotonic
        seconds.
    :ivar body_data_at_: when a part or the end of a response body was last received, in monotonic
        seconds.
    :ivar failed_at_: when a connection attempt last failed, in monotonic seconds.
    :ivar probed_at_: when a probe was last sent, in monotonic seconds.
    :ivar is_failed_: whether the last connection attempt failed.
    :ivar is_doubtful_: whether the path must be probed before it is used, because paths to other
        upstreams failed.
    :ivar needs_probe_: whether a probe is due, for example because a connection broke or stayed
        silent, which does not show whether new connections fail as well.
    :ivar failed_probes_: number of consecutive failed probes.
    """

    __slots__ = (
        "contact_at_",
        "body_data_at_",
        "failed_at_",
        "probed_at_",
        "is_failed_",
        "is_doubtful_",
        "needs_probe_",
        "failed_probes_",
    )

    def __init__(self):
        self.contact_at_ = float("-inf")
        self.body_data_at_ = float("-inf")
        self.failed_at_ = float("-inf")
        self.probed_at_ = float("-inf")
        self.is_failed_ = False
        self.is_doubtful_ = False
        self.needs_probe_ = False
        self.failed_probes_ = 0

    @property
    def is_usable(self):
        """Whether requests may be sent on this path."""
        return not (self.is_failed_ or self.is_doubtful_)

    def request_probe(self):
        """Request a probe."""
        self.needs_probe_ = True

    def record_connection(self, now):
        """Record that a connection was opened.

        :param now: monotonic seconds.
        """
        self.contact_at_ = now
        self.is_failed_ = self.is_doubtful_ = self.needs_probe_ = False
        self.failed_probes_ = 0

    def record_data(self, now):
        """Record data on an open connection, which does not show that new ones can be opened.

        :param now: monotonic seconds.
        """
        self.contact_at_ = now
        self.is_doubtful_ = False

    def record_failure(self, now):
        """Record a failed connection attempt.

        :param now: monotonic seconds.
        """
        self.failed_at_ = now
        self.is_failed_, self.is_doubtful_ = True, False

    def record_failed_probe(self, now):
        """Record a failed probe.

        :param now: monotonic seconds.
        """
        self.needs_probe_ = False
        self.failed_probes_ += 1
        self.record_failure(now)

    def is_unresponsive(self, now):
        """Return whether the host is unresponsive, so that the requests it runs are lost."""
        return (
            self.failed_probes_ >= UNRESPONSIVE_PROBES
            and now >= self.body_data_at_ + UNRESPONSIVE_S
        )
