"""One router's state for one boot of an upstream."""

from sassafrashook.registry import RegistrationState
from sassafrashook.utils import hash_key

SUSPENSION_S = 2.0  # length of a suspension; a probe connection completes or fails sooner
# Consecutive failed probes after which a host counts as unresponsive. A lossy link loses at most
# one connection-opening packet in ten, so one failed probe is not enough.
UNRESPONSIVE_PROBES = 2
# A restart that could explain a failed connection attempt is known after this time, from the next
# heartbeat of the new boot.
RESTART_KNOWN_S = 3.0
MAX_WAIT_S = 30.0  # longer waits that an upstream asks for are cut to this time
UNRESPONSIVE_S = 0.6  # minimum time without response body data from an unresponsive host
FAILURE_RATE_WEIGHT = 0.2  # weight of the newest response in the moving average of failures
FAILURE_RATE_THRESHOLD = 0.5
# A stated rate limit lapses after this time without a response at any router. Routers without a
# share of it send nothing meanwhile.
RATE_LIMIT_TTL_S = 30.0
ESTABLISHED_AFTER_S = 5.0  # most sessions send their next request within this time
REPORTED_LOAD_TTL_S = 1.0  # a load reported with a response is outdated after this time


class UpstreamState:
    """One router's view of one boot of an upstream.

    An upstream is on probation after a failure that a restart could explain, because it may have
    restarted with a cold cache. Probation ends with a newer registration or a successful response.

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
    :ivar suspended_until_: end of its suspension, in monotonic seconds.
    :ivar connect_failed_at_: when a connection attempt last failed, in monotonic seconds.
    :ivar needs_probe_: whether a connection broke or stayed silent, which doesn't show whether new
        connections fail as well.
    :ivar failed_probes_: number of consecutive failed probes.
    :ivar last_body_data_at_: when a part or the end of a response body was last received from it,
        in monotonic seconds.
    :ivar failure_rate_: exponential moving average of failed responses, 0 to 1.
    :ivar is_on_probation_: whether it is on probation.
    :ivar is_address_reused_: whether an upstream with another name responded at its address. It
        gets no requests until a newer registration arrives.
    :ivar rate_limit_: number of requests per second that it accepts from all routers together, as
        last stated; ``None`` if it stated no limit.
    :ivar rate_limit_heard_at_: when a router received the response that the limit is known from, in
        monotonic seconds.
    :ivar is_leaving_: whether it has said that it leaves; it then gets no new requests.
    :ivar wait_until_: until when it wants no requests from this router, in monotonic seconds.
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
        "suspended_until_",
        "connect_failed_at_",
        "needs_probe_",
        "failed_probes_",
        "last_body_data_at_",
        "failure_rate_",
        "is_on_probation_",
        "is_address_reused_",
        "is_leaving_",
        "wait_until_",
        "presumed_cold_until_",
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
        self.suspended_until_ = float("-inf")
        self.connect_failed_at_ = float("-inf")
        self.needs_probe_ = False
        self.failed_probes_ = 0
        self.last_body_data_at_ = float("-inf")
        self.failure_rate_ = 0.0
        self.is_on_probation_ = False
        self.is_address_reused_ = False
        self.is_leaving_ = False
        self.wait_until_ = float("-inf")
        self.presumed_cold_until_ = float("-inf")
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

    def is_cold(self, now):
        """Return whether it is cold or presumed to be cold."""
        return now < max(self.cold_until, self.presumed_cold_until_)

    def is_expired(self, now):
        """Return whether its registration is recalled and has expired without a renewal."""
        return self.registration.state == RegistrationState.RECALLED and now >= self.cold_until

    def has_certain_version(self, now):
        """Return whether it certainly runs the software version of its registration.

        One that may have restarted since its last heartbeat may run another version.

        :param now: monotonic seconds.
        """
        return (
            self.registration.state != RegistrationState.RECALLED
            and now >= self.connect_failed_at_ + RESTART_KNOWN_S
        )

    def is_suspended(self, now):
        """Return whether it currently gets no requests because a connection attempt failed."""
        return now < self.suspended_until_

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

    def record_connect_failure(self, now):
        """Suspend it after a failed connection attempt.

        :param now: monotonic seconds.
        """
        self.connect_failed_at_ = now
        self.suspended_until_ = now + SUSPENSION_S
        self.is_on_probation_ = True

    def request_probe(self):
        """Request a probe after a connection broke or stayed silent, as the host may be down."""
        self.needs_probe_ = True

    def record_probe(self, succeeded, now):
        """Record the result of a probe connection.

        A successful probe ends the suspension but not the probation, because the upstream may have
        restarted with a cold cache.

        :param succeeded: whether the connection was established.
        :param now: monotonic seconds.
        """
        self.needs_probe_ = False
        if not succeeded:
            self.failed_probes_ += 1
            self.record_connect_failure(now)
            return
        self.failed_probes_ = 0
        self.suspended_until_ = float("-inf")

    def is_unresponsive(self, now):
        """Return whether its host is unresponsive, so that the requests it runs are lost."""
        return (
            self.failed_probes_ >= UNRESPONSIVE_PROBES
            and now >= self.last_body_data_at_ + UNRESPONSIVE_S
        )

    def record_response(self, succeeded):
        """Update the failure rate after one response, and end the probation if it succeeded.

        :param succeeded: whether the response was complete and correct.
        """
        if succeeded:
            self.is_on_probation_ = False
        self.failure_rate_ += FAILURE_RATE_WEIGHT * (
            (0.0 if succeeded else 1.0) - self.failure_rate_
        )

    def is_failing(self):
        """Return whether most of its recent responses were failures."""
        return self.failure_rate_ > FAILURE_RATE_THRESHOLD
