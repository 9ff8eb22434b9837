"""One router's state for one boot of an upstream."""

from sassafrashook.estimation import SpeedEstimate
from sassafrashook.paths import Path
from sassafrashook.registry import RegistrationState
from sassafrashook.utils import hash_key

# A restart that could explain a failed connection attempt is known after this time, from the next
# heartbeat of the new boot.
RESTART_KNOWN_S = 3.0
MAX_WAIT_S = 30.0  # longer waits that an upstream asks for are cut to this time
FAILURE_RATE_WEIGHT = 0.2  # weight of the newest response in the moving average of failures
FAILURE_RATE_THRESHOLD = 0.5
FAILURE_RATE_HALF_LIFE_S = 5.0  # as that of the evidence of all routers
# A stated rate limit lapses after this time without a response at any router. Routers without a
# share of it send nothing meanwhile.
RATE_LIMIT_TTL_S = 30.0
ESTABLISHED_AFTER_S = 5.0  # most sessions send their next request within this time
REPORTED_LOAD_TTL_S = 1.0  # a load reported with a response is outdated after this time


class UpstreamState:
    """One router's view of one boot of an upstream.

    An upstream is on probation after a failure that a restart could explain, because it may have
    restarted with a cold cache. Probation ends with a newer registration, a successful response, or
    once the restart would be known.

    :param registration: its :class:`~sassafrashook.registry.Registration`.
    :param cold_until: end of its warm-up, in monotonic seconds; for a recalled registration, the
        time at which it expires.
    :param discovered_at: when this router first learned of it, in monotonic seconds; minus
        infinity if it was restored from saved registrations.

    :ivar name_hash: 64-bit hash of its name, an input of the rendezvous hash of each session.
    :ivar last_chosen_at_: when it was last chosen for a request, in monotonic seconds.
    :ivar running_: number of this router's requests that the upstream is running.
    :ivar remote_running_: number of other routers' requests that the upstream is running, as last
        received.
    :ivar reported_load_: number of requests running and waiting at the upstream, as reported with
        its last response that contains its load.
    :ivar load_reported_at_: time of that report, in monotonic seconds.
    :ivar path: this router's :class:`~sassafrashook.paths.Path` to it.
    :ivar failure_rate_: exponential moving average of failed responses, 0 to 1.
    :ivar may_have_restarted_: whether a connection attempt failed since the last registration or
        successful response.
    :ivar is_address_reused_: whether an upstream with another name responded at its address. It
        gets no requests until a newer heartbeat of it is known.
    :ivar heard_at_: when its last known heartbeat was received, in monotonic seconds; only those
        are known that changed its registration or that this router asked for.
    :ivar suspected_at_: when an upstream with another name last responded at its address, in
        monotonic seconds.
    :ivar rate_limit_: number of requests per second that it accepts from all routers together, as
        last stated; ``None`` if it stated no limit.
    :ivar rate_limit_heard_at_: when a router received the response that the limit is known from, in
        monotonic seconds.
    :ivar is_leaving_: whether it has said that it leaves; it then gets no new requests.
    :ivar wait_until_: until when it wants no requests from this router, in monotonic seconds.
    :ivar slowdown_: how long work takes at its host, as a multiple of the usual time, as last
        stated with a response; ``None`` if it has stated none.
    :ivar speed_: the :class:`~sassafrashook.estimation.SpeedEstimate` of how long work takes now.
    :ivar presumed_cold_until_: until when it counts as cold because its zone was drained, in
        monotonic seconds.
    """

    __slots__ = (
        "registration",
        "cold_until",
        "discovered_at",
        "name_hash",
        "last_chosen_at_",
        "running_",
        "remote_running_",
        "reported_load_",
        "load_reported_at_",
        "path",
        "failure_rate_",
        "may_have_restarted_",
        "is_address_reused_",
        "heard_at_",
        "suspected_at_",
        "is_leaving_",
        "wait_until_",
        "presumed_cold_until_",
        "slowdown_",
        "speed_",
        "rate_limit_",
        "rate_limit_heard_at_",
    )

    def __init__(self, registration, cold_until, discovered_at):
        self.registration = registration
        self.cold_until = cold_until
        self.discovered_at = discovered_at
        self.name_hash = hash_key(registration.upstream_id)
        self.last_chosen_at_ = float("-inf")
        self.running_ = 0
        self.remote_running_ = 0
        self.reported_load_ = 0
        self.load_reported_at_ = float("-inf")
        self.path = Path()
        self.failure_rate_ = 0.0
        self.may_have_restarted_ = False
        self.is_address_reused_ = False
        self.heard_at_ = float("-inf")
        self.suspected_at_ = float("-inf")
        self.is_leaving_ = False
        self.wait_until_ = float("-inf")
        self.presumed_cold_until_ = float("-inf")
        self.slowdown_ = None
        self.speed_ = SpeedEstimate()
        self.rate_limit_ = None
        self.rate_limit_heard_at_ = float("-inf")

    @property
    def key(self):
        """Name and boot time, which identify the boot, for example to pool idle connections."""
        return (self.registration.upstream_id, self.registration.boot_ms)

    def estimate_load(self, use_remote, now):
        """Return the estimated number of requests of all routers at the upstream.

        :param use_remote: whether ``remote_running_`` is recent enough to be used. Otherwise the
            load reported with the last response is used while it is valid.
        :param now: monotonic seconds.
        """
        if use_remote:
            return self.running_ + self.remote_running_
        is_fresh = now < self.load_reported_at_ + REPORTED_LOAD_TTL_S
        return max(self.running_, self.reported_load_ if is_fresh else 0)

    def is_established(self, now):
        """Return whether it is known for long enough to hold the sessions that hash to it."""
        return now >= self.discovered_at + ESTABLISHED_AFTER_S

    def is_on_probation(self, now):
        """Return whether it may have restarted, and a restart might not be known yet."""
        return self.may_have_restarted_ and now < self.path.failed_at_ + RESTART_KNOWN_S

    def is_cold(self, now):
        """Return whether it is cold or presumed to be cold."""
        return now < max(self.cold_until, self.presumed_cold_until_)

    def is_expired(self, now):
        """Return whether its registration is recalled and has expired without a renewal."""
        return self.registration.state == RegistrationState.RECALLED and now >= self.cold_until

    def has_certain_version(self):
        """Return whether it certainly runs the software version of its registration.

        One that may have restarted since its last heartbeat may run another version, however long
        ago that was: the registration of its new boot may be on its way.
        """
        is_recalled = self.registration.state == RegistrationState.RECALLED
        return not is_recalled and self.heard_at_ >= self.path.failed_at_

    def record_heartbeat(self, heard_at):
        """Record a heartbeat of this boot, which shows that it had not restarted before.

        :param heard_at: when it was received, in monotonic seconds.
        """
        self.heard_at_ = max(self.heard_at_, heard_at)
        if self.heard_at_ >= self.path.failed_at_:
            self.may_have_restarted_ = False
        if self.heard_at_ >= self.suspected_at_:
            self.is_address_reused_ = False

    def suspect_address(self, now):
        """Record that an upstream with another name seems to respond at its address.

        Its next heartbeat ends the suspicion: an upstream that has lost its address has crashed.

        :param now: monotonic seconds.
        """
        self.is_address_reused_ = True
        self.suspected_at_ = now

    def needs_heartbeat(self):
        """Return whether only its next heartbeat shows that it runs on at its address."""
        may_have_restarted = self.heard_at_ < self.path.failed_at_ and not self.path.is_failed_
        return may_have_restarted or self.is_address_reused_

    def record_load_report(self, running, waiting, now):
        """Record the load that it reported with a response.

        :param running: number of running requests.
        :param waiting: number of queued requests.
        :param now: monotonic seconds.
        """
        self.reported_load_ = running + waiting
        self.load_reported_at_ = now

    def record_rate_limit(self, rate, heard_at):
        """Record the rate limit that a response stated, unless a later response is known.

        :param rate: requests per second, ``None`` if the response stated no limit.
        :param heard_at: when a router received the response, in monotonic seconds.
        :returns: whether the limit has changed.
        """
        if heard_at <= self.rate_limit_heard_at_:
            return False
        self.rate_limit_heard_at_ = heard_at
        has_changed, self.rate_limit_ = rate != self.rate_limit_, rate
        return has_changed

    def record_wait(self, wait_s, now):
        """Record that it wants no requests from this router for some time.

        :param wait_s: the time that it asks for, in seconds.
        :param now: monotonic seconds.
        :returns: the time that is observed, at most ``MAX_WAIT_S``.
        """
        wait_s = min(wait_s, MAX_WAIT_S)
        self.wait_until_ = max(self.wait_until_, now + wait_s)
        return wait_s

    def get_rate_limit(self, now):
        """Return its rate limit in requests per second, ``None`` if there is none."""
        has_lapsed = now >= self.rate_limit_heard_at_ + RATE_LIMIT_TTL_S
        return None if has_lapsed else self.rate_limit_

    def record_response(self, succeeded):
        """Update the failure rate after one response, and end the probation if it succeeded.

        :param succeeded: whether the response was complete and correct.
        """
        if succeeded:
            self.may_have_restarted_ = False
        self.failure_rate_ += FAILURE_RATE_WEIGHT * (
            (0.0 if succeeded else 1.0) - self.failure_rate_
        )

    def decay_failure_rate(self, elapsed_s):
        """Reduce the failure rate by its age, if the results are known fleet-wide.

        Otherwise an upstream that this router sends nothing because of its failures would get
        nothing from it for the rest of its boot.

        :param elapsed_s: time since the last call, in seconds.
        """
        if self.slowdown_ is not None:
            self.failure_rate_ *= 0.5 ** (elapsed_s / FAILURE_RATE_HALF_LIFE_S)

    def is_failing(self):
        """Return whether most of its recent responses were failures."""
        return self.failure_rate_ > FAILURE_RATE_THRESHOLD
