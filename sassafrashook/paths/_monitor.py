"""Detection of failures that affect many of a router's paths at once."""

from sassafrashook.base import Parametrized
from sassafrashook.utils import Interval

# Time within which failed connection attempts to two upstreams raise the suspicion that more paths
# have failed.
FAILURE_WINDOW_S = 1.0
RECHECK_INTERVAL_S = 1.0  # minimum time between the starts of two checks


class PathMonitor(Parametrized):
    """Finds out which of a router's paths have failed without a request having to try each.

    Once connection attempts to two upstreams fail, or one gets no reply while no other upstream is
    heard from, the paths to all upstreams that have not been heard from since become doubtful. Some
    of them are probed in each availability zone. If all of these are reached, the zone's other
    paths are no longer doubtful; otherwise each of them is probed.

    :param rng: a ``random.Random``.
    :param sample_size: number of doubtful paths per zone that are probed first.
    :param max_probes: number of probes per round; probes of the sample and requested ones come in
        addition.

    :ivar contact_at_: when any upstream was last heard from, in monotonic seconds.
    """

    _parameter_constraints = {
        "sample_size": Interval(int, 1, 100),
        "max_probes": Interval(int, 1, 10_000),
    }

    def __init__(self, rng, sample_size=3, max_probes=64):
        self.rng = rng
        self.sample_size = sample_size
        self.max_probes = max_probes
        self.contact_at_ = float("-inf")
        self._upstreams = {}
        self._failures = []
        self._samples = {}
        self._failed_zones = set()
        self._recheck_at = float("-inf")
        self._has_recovery = False
        self.validate_parameters()

    def set_upstreams(self, upstreams):
        """Replace the upstreams.

        :param upstreams: iterable of :class:`~sassafrashook.placement.UpstreamState`.
        """
        self._upstreams = {upstream.key: upstream for upstream in upstreams}
        for zone, sample in list(self._samples.items()):
            sample.intersection_update(self._upstreams)
            self._finish_sample(zone)

    @property
    def is_checking(self):
        """Whether there are doubtful paths."""
        return any(upstream.path.is_doubtful_ for upstream in self._upstreams.values())

    def count_unusable(self):
        """Return the number of upstreams to which this router has no usable path."""
        return sum(not upstream.path.is_usable for upstream in self._upstreams.values())

    def record_connection(self, upstream, now):
        """Record that a connection to an upstream was opened.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :param now: monotonic seconds.
        """
        self.contact_at_ = now
        self._has_recovery = self._has_recovery or upstream.path.is_failed_
        upstream.path.record_connection(now)
        self._record_sampled(upstream, True)

    def record_data(self, upstream, now):
        """Record that data was received from an upstream.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :param now: monotonic seconds.
        """
        self.contact_at_ = now
        upstream.path.record_data(now)

    def record_failure(self, upstream, began_at, now, is_silent):
        """Record that a connection to an upstream could not be opened.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :param began_at: when the attempt began, in monotonic seconds.
        :param now: monotonic seconds.
        :param is_silent: whether there was no reply at all, rather than a refusal.
        :returns: number of paths that have become doubtful because of this.
        """
        was_usable = upstream.path.is_usable
        upstream.path.record_failure(now)
        if not was_usable:
            return 0
        earliest = now - FAILURE_WINDOW_S
        self._failures = [failure for failure in self._failures if failure[1] > earliest]
        self._failures.append((began_at, now, upstream.key))
        has_several = len({key for _, _, key in self._failures}) > 1
        is_only_contact = is_silent and self.contact_at_ <= began_at
        if not (has_several or is_only_contact) or now < self._recheck_at or self.is_checking:
            return 0
        return self._begin_check(min(began for began, _, _ in self._failures), now)

    def _begin_check(self, since, now):
        """Doubt the paths to all upstreams that have not been heard from for some time.

        :returns: number of doubtful paths.
        """
        self._recheck_at = now + RECHECK_INTERVAL_S
        self._failed_zones.clear()
        doubtful = {}
        for upstream in self._upstreams.values():
            if upstream.path.is_usable and upstream.path.contact_at_ <= since:
                upstream.path.is_doubtful_ = True
                zone = upstream.registration.availability_zone
                doubtful.setdefault(zone, []).append(upstream)
        for zone, upstreams in doubtful.items():
            sample = self.rng.sample(upstreams, min(self.sample_size, len(upstreams)))
            self._samples[zone] = {upstream.key for upstream in sample}
            for upstream in sample:
                upstream.path.request_probe()
        return sum(len(upstreams) for upstreams in doubtful.values())

    def record_probe(self, upstream, succeeded, began_at, now, is_silent=True):
        """Record the result of a probe.

        :param upstream: an :class:`~sassafrashook.placement.UpstreamState`.
        :param succeeded: whether a connection was opened.
        :param began_at: when the probe began, in monotonic seconds.
        :param now: monotonic seconds.
        :param is_silent: whether there was no reply at all, rather than a refusal.
        :returns: number of paths that have become doubtful because of this.
        """
        if succeeded:
            self.record_connection(upstream, now)
            return 0
        doubtful_count = self.record_failure(upstream, began_at, now, is_silent)
        upstream.path.record_failed_probe(now)
        self._record_sampled(upstream, False)
        return doubtful_count

    def _record_sampled(self, upstream, is_reached):
        zone = upstream.registration.availability_zone
        sample = self._samples.get(zone, ())
        if upstream.key in sample:
            sample.discard(upstream.key)
            if not is_reached:
                self._failed_zones.add(zone)
            self._finish_sample(zone)

    def _finish_sample(self, zone):
        """Trust the other paths of a zone once all of its sample were reached."""
        if self._samples[zone]:
            return
        del self._samples[zone]
        if zone in self._failed_zones:
            return
        for upstream in self._upstreams.values():
            if upstream.registration.availability_zone == zone:
                upstream.path.is_doubtful_ = False

    def take_probe_targets(self, now):
        """Return the upstreams to be probed in this round.

        All failed paths are probed after one of them has recovered, as they may recover together.

        :param now: monotonic seconds.
        :returns: list of :class:`~sassafrashook.placement.UpstreamState`.
        """
        requested, waiting = [], []
        for upstream in self._upstreams.values():
            path = upstream.path
            zone = upstream.registration.availability_zone
            if path.needs_probe_:
                requested.append(upstream)
            elif path.is_failed_ or (path.is_doubtful_ and zone not in self._samples):
                waiting.append(upstream)
        limit = len(waiting) if self._has_recovery else self.max_probes
        self._has_recovery = False
        waiting.sort(key=self._make_probe_sort_key)
        targets = requested + waiting[:limit]
        for upstream in targets:
            upstream.path.probed_at_ = now
        return targets

    def _make_probe_sort_key(self, upstream):
        path = upstream.path
        return (not path.is_doubtful_, not upstream.running_, path.probed_at_)

    def needs_immediate_round(self):
        """Return whether the next round of probes must not wait for its regular time."""
        return self._has_recovery or any(
            upstream.path.needs_probe_ or upstream.path.is_doubtful_
            for upstream in self._upstreams.values()
        )
