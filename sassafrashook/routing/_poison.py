"""Requests that crash the upstreams that run them.

Suspicion follows the fingerprint of the content, whatever the request id or the router.
"""

from sassafrashook.routing._deadlines import DeadlineTable
from sassafrashook.routing._recent import RecentMap

CRASHES_TO_QUARANTINE = 2
UPSTREAMS_AT_RISK_MAX = 2
BREAK_KEPT_S = 10.0
SUSPICION_KEPT_S = 3600.0
PROVEN_MAX = 16_384


class SuspectTable:
    """Fingerprints that ran at a crash, and those that are quarantined.

    Attributes
    ----------
    crashes_ : boots of upstreams at whose crash each suspect ran.
    changed_ : suspects whose crashes are to be recorded.
    quarantined_ : fingerprints that the replicated state holds as quarantined.
    pending_ : fingerprints to be added to it.
    concurrent_ : suspects that ran at several upstreams when one of them crashed; of several
        suspects of a second crash, only these are quarantined without a run alone.
    """

    def __init__(self):
        self.crashes_ = {}
        self.changed_ = {}
        self.quarantined_ = frozenset()
        self.pending_ = set()
        self.concurrent_ = set()
        self.running_ = {}
        self.proven_ = RecentMap(PROVEN_MAX)
        self.expiries_ = DeadlineTable()

    def is_quarantined(self, fingerprint):
        """Return whether a fingerprint is refused everywhere."""
        return fingerprint in self.quarantined_ or fingerprint in self.pending_

    def is_suspect(self, fingerprint):
        """Return whether a fingerprint may only run alone."""
        return fingerprint in self.crashes_

    def run_at(self, upstream):
        """Return whether any suspect runs at an upstream."""
        return any(record.fingerprint in self.crashes_ for record in upstream.permits_)

    def may_run(self, fingerprint, upstream):
        """Return whether one more run could cost too many upstreams.

        :param upstream: the :class:`UpstreamState` where it would run.
        """
        if fingerprint in self.proven_:
            return True
        at_risk = self.running_.get(fingerprint)
        if not at_risk:
            return True
        if fingerprint in self.crashes_:
            return False
        others = len(at_risk) - (upstream in at_risk)
        return others < UPSTREAMS_AT_RISK_MAX

    def note_started(self, fingerprint, upstream):
        """Count a run."""
        at_risk = self.running_.setdefault(fingerprint, {})
        at_risk[upstream] = at_risk.get(upstream, 0) + 1

    def note_ended(self, fingerprint, upstream):
        """Count the end of a run, however it ended."""
        at_risk = self.running_.get(fingerprint, {})
        at_risk[upstream] = at_risk.get(upstream, 0) - 1
        if at_risk[upstream] <= 0:
            del at_risk[upstream]
        if not at_risk:
            self.running_.pop(fingerprint, None)

    def note_broken(self, fingerprint, upstream, now):
        """Hold a run as undecided: its answer broke, and the upstream may have crashed."""
        if fingerprint in upstream.broken_:
            return
        upstream.broken_[fingerprint] = now
        self.note_started(fingerprint, upstream)
        self.expiries_.add((fingerprint, upstream), now + BREAK_KEPT_S)

    def note_alive(self, upstream):
        """Clear what broke at an upstream that was seen to live on."""
        for fingerprint in upstream.broken_:
            self.expiries_.remove((fingerprint, upstream))
            self.note_ended(fingerprint, upstream)
        upstream.broken_.clear()

    def note_finished(self, fingerprint):
        """Clear a fingerprint whose answer was whole."""
        self._clear(fingerprint)
        self.expiries_.remove(fingerprint)
        self.proven_.put(fingerprint)

    def note_crash(self, upstream, now):
        """Count a crash once against each fingerprint that ran or broke at the upstream.

        :returns: the fingerprints to be quarantined.
        """
        running = {record.fingerprint for record in upstream.permits_}
        suspects = running | upstream.broken_.keys()
        self.note_alive(upstream)
        self.concurrent_ |= {item for item in running if len(self.running_[item]) > 1}
        boot = f"{upstream.upstream_id}/{upstream.announcement.boot_id}"
        return self.count_crash(sorted(suspects), boot, now)

    def count_crash(self, suspects, boot, now):
        """Count the crash of one boot of an upstream against fingerprints.

        :returns: the fingerprints to be quarantined.
        """
        repeated = []
        for fingerprint in suspects:
            crashes = self.crashes_.setdefault(fingerprint, set())
            if boot in crashes:
                continue
            crashes.add(boot)
            self.changed_[fingerprint] = None
            self.proven_.drop(fingerprint)
            self.expiries_.add(fingerprint, now + SUSPICION_KEPT_S)
            if len(crashes) >= CRASHES_TO_QUARANTINE:
                repeated.append(fingerprint)
        if len(repeated) > 1:
            repeated = [item for item in repeated if item in self.concurrent_]
        self.pending_.update(repeated)
        return repeated

    def set_quarantined(self, fingerprints):
        """Take the replicated list; what an operator removed from it may run alone again."""
        quarantined = frozenset(fingerprints)
        for fingerprint in self.quarantined_ - quarantined:
            self._clear(fingerprint)
        self.quarantined_ = quarantined
        self.pending_ -= quarantined

    def advance(self, now):
        """Forget what is too old to matter."""
        for item in self.expiries_.pop_due(now):
            if isinstance(item, tuple):
                fingerprint, upstream = item
                upstream.broken_.pop(fingerprint, None)
                self.note_ended(fingerprint, upstream)
            else:
                self._clear(item)

    def take_changed(self):
        """Return the suspects whose crashes changed since the last call."""
        changed = list(self.changed_)
        self.changed_.clear()
        return changed

    def learn(self, fingerprint, boots, now):
        """Take over what an earlier owner recorded of a suspect."""
        self.crashes_.setdefault(fingerprint, set()).update(boots)
        self.expiries_.add(fingerprint, now + SUSPICION_KEPT_S)

    def _clear(self, fingerprint):
        if self.crashes_.pop(fingerprint, None) is not None:
            self.changed_[fingerprint] = None
        self.concurrent_.discard(fingerprint)
