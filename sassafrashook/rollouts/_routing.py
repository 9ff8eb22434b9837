"""Decision of a router on the software version that a request goes to."""

import random

from sassafrashook.rollouts._counts import AttemptCounter
from sassafrashook.rollouts._records import RolloutState

__all__ = ["RouterRollouts", "VersionChoice"]

# A version that appears beside another one gets nothing for this time: an order may be resent for
# 5 s, and routers learn of it within 1 s.
HOLD_S = 6.0
# After a completed rollout, upstreams of the old versions that started this much later are those of
# another release, to which the rollout does not apply.
LATER_RELEASE_MS = 60_000
MIN_TRIAL_UPSTREAMS = 3
MS_PER_S = 1_000


class VersionChoice:
    """Which upstreams of a service one attempt may go to.

    :param rollout: the service's :class:`~sassafrashook.rollouts.Rollout`, or ``None``.
    :param share: share of the requests that goes to the new version.
    :param is_new: whether this attempt goes to the new version.
    :param held_versions: versions that get nothing while others serve.
    """

    __slots__ = ("rollout", "share", "is_new", "held_versions")

    def __init__(self, rollout, share=0.0, is_new=False, held_versions=frozenset()):
        self.rollout = rollout
        self.share = share
        self.is_new = is_new
        self.held_versions = held_versions

    @property
    def is_trial(self):
        """Whether the attempt goes to the new version while the old one serves too."""
        return self.is_new and self.share < 1.0

    def choose_old(self):
        """Return the choice of the old version instead."""
        return VersionChoice(self.rollout, self.share, False, self.held_versions)

    def select(self, states, now):
        """Return those of the candidates that the attempt may go to.

        :param states: list of :class:`~sassafrashook.placement.UpstreamState`.
        :param now: monotonic seconds.
        """
        rollout = self.rollout
        if self.held_versions:
            states = [
                state for state in states if state.registration.version not in self.held_versions
            ] or states
        if rollout is None:
            return states
        if rollout.state is RolloutState.REVERTED:
            return [state for state in states if state.registration.version != rollout.to]
        if rollout.state is RolloutState.COMPLETED:
            return [state for state in states if not self._is_replaced(state)]
        old = [state for state in states if state.registration.version != rollout.to]
        new = [state for state in states if state.registration.version == rollout.to]
        if not self.is_new:
            return old or new
        if rollout.is_sealed:
            return new
        return (new if self.share >= 1.0 else self._select_part(new, now)) or old

    def _is_replaced(self, state):
        """Return whether an upstream is one that a completed rollout has replaced."""
        registration = state.registration
        return (
            registration.version in self.rollout.old_versions
            and registration.boot_ms < self.rollout.changed_ms + LATER_RELEASE_MS
        )

    def _select_part(self, states, now):
        """Return as large a part of the warm upstreams as the share is of the traffic.

        Each of them thus bears the load that it will have with all of the traffic. At least three
        are used, so that the evidence doesn't rest on a single host.
        """
        warm = sorted(
            (state for state in states if not state.is_cold(now)), key=lambda s: s.name_hash
        )
        return warm[: max(MIN_TRIAL_UPSTREAMS, round(self.share * len(states)))]


class RouterRollouts:
    """One router's view of the rollouts, with its lease of their shares.

    :param is_enabled: whether the deployment states bounds of rollouts. Otherwise new versions are
        not held back.
    :param rng: a ``random.Random``.
    :param boot: identifies this run of the process.

    :ivar rollouts_: :class:`~sassafrashook.rollouts.Rollout` by service.
    :ivar index_: log index up to which a controller has told this router all changes.

    >>> rollouts = RouterRollouts()
    >>> rollouts.choose("advisor", 0.0) is None
    True
    """

    def __init__(self, is_enabled=False, rng=None, boot=0):
        self.is_enabled = is_enabled
        self.rng = rng or random.Random()
        self.boot = boot
        self.rollouts_ = {}
        self.index_ = 0
        self._leases = {}
        self._counters = {}
        self._first_seen = {}
        self._running = {}
        self._longest_s = {}

    def merge(self, rollouts, index):
        """Merge the rollouts that a controller sent; older records never replace newer ones.

        :param rollouts: iterable of :class:`~sassafrashook.rollouts.Rollout`.
        :param index: log index up to which they are complete, 0 if the controller has none.
        """
        for rollout in rollouts:
            self._merge_one(rollout)
        if rollouts:
            self.index_ = max(self.index_, index)

    def _merge_one(self, rollout):
        known = self.rollouts_.get(rollout.service)
        if known is not None and rollout.index <= known.index:
            return
        self.rollouts_[rollout.service] = rollout
        if known is None or known.order_index != rollout.order_index:
            self._leases.pop(rollout.service, None)
            self._counters[rollout.service] = AttemptCounter(rollout.to)
            self._longest_s.pop(rollout.service, None)

    def renew(self, rollout, lease_s, now):
        """Apply a record that the leader sent, and extend the lease of its share.

        :param lease_s: time for which the share holds, in seconds.
        :param now: monotonic seconds.
        """
        self._merge_one(rollout)
        if self.rollouts_[rollout.service].index == rollout.index:
            self._leases[rollout.service] = now + lease_s

    def observe_versions(self, registrations, now):
        """Record which versions the upstreams of each service run.

        Where several versions are seen at first, the one with the earliest boot counts as the old
        one.

        :param registrations: iterable of :class:`~sassafrashook.registry.Registration`.
        :param now: monotonic seconds.
        """
        if not self.is_enabled:
            return
        boots = {}
        for registration in registrations:
            versions = boots.setdefault(registration.service, {})
            boot_ms = versions.get(registration.version, registration.boot_ms)
            versions[registration.version] = min(boot_ms, registration.boot_ms)
        for service, versions in boots.items():
            seen = self._first_seen.setdefault(service, {})
            if not seen:
                seen[min(versions, key=lambda version: versions[version])] = float("-inf")
            for version in versions:
                seen.setdefault(version, now)

    def choose(self, service, now, stream_version=None, is_retry=False):
        """Choose the version of one attempt, for the first attempt at random.

        :param service: name of the service.
        :param now: monotonic seconds.
        :param stream_version: version that the attempt must go to, as it resumes a stream.
        :param is_retry: whether it repeats a request, which then isn't part of a trial.
        :returns: a :class:`VersionChoice`, ``None`` if any version will do.
        """
        rollout = self.rollouts_.get(service)
        held = self._find_held(service, rollout, now)
        if rollout is None:
            return VersionChoice(None, held_versions=held) if held else None
        if stream_version is not None:
            return VersionChoice(rollout, 1.0, stream_version == rollout.to, held)
        share = self.get_share(rollout, now)
        is_new = share >= 1.0 or (not is_retry and self.rng.random() < share)
        return VersionChoice(rollout, share, is_new, held)

    def get_share(self, rollout, now):
        """Return the share of a rollout in progress, 0 if the lease of it has ended."""
        if not rollout.is_in_progress:
            return 0.0
        has_lease = now < self._leases.get(rollout.service, float("-inf"))
        return rollout.share if rollout.is_sealed or has_lease else 0.0

    def _find_held(self, service, rollout, now):
        """Return the versions that appeared lately and to which no order applies."""
        seen = self._first_seen.get(service)
        if seen is None or len(seen) < 2:
            return frozenset()
        ordered = (rollout.to, *rollout.old_versions) if rollout is not None else ()
        return frozenset(
            version for version, at in seen.items() if now < at + HOLD_S and version not in ordered
        )

    def begin_attempt(self, registration, route, is_evidence, now):
        """Record that an attempt begins.

        :param registration: :class:`~sassafrashook.registry.Registration` of the upstream.
        :param route: name of the route.
        :param is_evidence: whether its result says something of the version.
        :returns: a handle for :meth:`record_reply` and :meth:`end_attempt`, or ``None``.
        """
        if not self.is_enabled:
            return None
        key = (registration.service, registration.version)
        self._running[key] = self._running.get(key, 0) + 1
        rollout, counter = self.rollouts_.get(key[0]), self._counters.get(key[0])
        if rollout is None or not rollout.is_in_progress:
            return key, None, None, now
        entry = counter.begin(key[1], route, registration.upstream_id, is_evidence, now)
        return key, counter, entry, now

    def record_reply(self, handle, now):
        """Record that a response, or the first event of a stream, has arrived."""
        if handle is not None and handle[1] is not None:
            handle[1].record_reply(handle[2], now)

    def end_attempt(self, handle, is_bad, now):
        """Record that an attempt has ended; see :meth:`AttemptCounter.end`."""
        if handle is None:
            return
        key, counter, entry, began_at = handle
        rollout = self.rollouts_.get(key[0])
        if rollout is not None and key[1] != rollout.to:
            longest_s = self._longest_s.get(key[0], 0.0)
            self._longest_s[key[0]] = max(longest_s, now - began_at)
        self._running[key] -= 1
        if not self._running[key]:
            del self._running[key]
        if counter is not None:
            counter.end(entry, is_bad, now)

    def report(self, service, now):
        """Return the reply to the leader.

        :returns: tuple of order index, index of the record, number of requests running at old
            upstreams, longest one that has ended in milliseconds, and list of
            :class:`AttemptTotals`.
        """
        rollout, counter = self.rollouts_[service], self._counters[service]
        running = sum(
            count
            for (name, version), count in self._running.items()
            if name == service and version != rollout.to
        )
        longest_ms = round(self._longest_s.get(service, 0.0) * MS_PER_S)
        return rollout.order_index, rollout.index, running, longest_ms, counter.collect(now)
