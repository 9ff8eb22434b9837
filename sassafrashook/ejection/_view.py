"""What one router makes of the ejections that its controller decided."""

EJECTIONS_TTL_S = 2.5  # ejections end if no controller has renewed them for this time
# Requests per second that an ejected upstream gets from all routers together, as trials. Their
# results outweigh the evidence from before the ejection within two half-lives.
TRIALS_PER_S = 1.0
# An upstream that fails a larger share is not even used when the others have no room: the failure
# would cost the client a request that a refusal leaves it free to send again.
MAX_LAST_RESORT_FAILURE_SHARE = 0.6


class EjectionView:
    """Ejected upstreams, and when each of them may get a trial request from this router.

    :param rng: a ``random.Random``.

    :ivar ejections_: :class:`~sassafrashook.ejection.Ejection` by key of the upstream's boot.
    :ivar trial_count_: number of trials so far.
    """

    def __init__(self, rng):
        self.rng = rng
        self.ejections_ = {}
        self.trial_count_ = 0
        self._received_at = float("-inf")
        self._trial_at = {}

    def update(self, ejections, router_count, now):
        """Replace the ejections.

        :param ejections: iterable of :class:`~sassafrashook.ejection.Ejection`.
        :param router_count: number of routers that share the trials.
        :param now: monotonic seconds.
        :returns: the new ejections, and those that have ended.
        """
        previous = self.ejections_
        self.ejections_ = {ejection.key: ejection for ejection in ejections}
        self._received_at = now
        interval_s = self._compute_interval_s(router_count)
        self._trial_at = {
            key: self._trial_at.get(key, now + self.rng.uniform(0, interval_s))
            for key in self.ejections_
        }
        new = [e for key, e in self.ejections_.items() if key not in previous]
        return new, [e for key, e in previous.items() if key not in self.ejections_]

    def list_current(self, now):
        """Return the ejections by key; none if the controller's word is too old."""
        return self.ejections_ if now < self._received_at + EJECTIONS_TTL_S else {}

    def split(self, states, allows_trial, now):
        """Divide the upstreams that a request could be sent to.

        :param states: list of :class:`~sassafrashook.placement.UpstreamState`.
        :param allows_trial: whether the request may be a trial.
        :param now: monotonic seconds.
        :returns: three lists: an upstream to try first because a trial is due, if there is one;
            those that are not ejected; and ejected ones that may be used if these have no room.
        """
        ejections = self.list_current(now)
        if not ejections:
            return [], states, []
        trials, preferred, last_resort = [], [], []
        for state in states:
            ejection = ejections.get(state.key)
            if ejection is None:
                preferred.append(state)
            elif allows_trial and not trials and now >= self._trial_at[state.key]:
                trials.append(state)
            elif ejection.failure_share <= MAX_LAST_RESORT_FAILURE_SHARE:
                last_resort.append(state)
        if not preferred:
            return [], states, []
        return trials, preferred, last_resort

    def record_trial(self, state, router_count, now):
        """Record that a request was sent to an ejected upstream as a trial.

        :param state: the :class:`~sassafrashook.placement.UpstreamState`.
        :param router_count: number of routers that share the trials.
        :param now: monotonic seconds.
        """
        self.trial_count_ += 1
        interval_s = self._compute_interval_s(router_count)
        self._trial_at[state.key] = now + self.rng.uniform(0.5, 1.5) * interval_s

    def _compute_interval_s(self, router_count):
        return max(1, router_count) / TRIALS_PER_S
