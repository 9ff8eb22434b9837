"""Detection and quarantine of poison requests, which crash the upstreams that run them.

Requests are identified by the fingerprint of their content, regardless of request id and router.
"""

from sassafrashook.routing._deadlines import DeadlineTable
from sassafrashook.routing._recent import RecencyMap

CRASHES_TO_QUARANTINE = 2
MAX_UPSTREAMS_AT_RISK = 2
INTERRUPTED_RESPONSE_RETENTION_S = 10.0
SUSPECT_RETENTION_S = 3600.0
MAX_RECENTLY_FINISHED = 16_384


class SuspectTable:
    """Fingerprints that were running when an upstream crashed, and quarantined fingerprints.

    :ivar crashes_: for each suspect, the upstream boots that crashed while it ran there.
    :ivar changed_suspects_: suspects whose crashes are still to be recorded, as an ordered set.
    :ivar quarantined_: fingerprints that the replicated state lists as quarantined.
    :ivar pending_quarantines_: fingerprints that are still to be added to that list.
    :ivar concurrent_suspects_: suspects that ran on several upstreams when one of them crashed. If
        several suspects reach the crash limit at once, only those in this set are quarantined; the
        others remain suspects.
    :ivar running_: number of runs per upstream, by fingerprint.
    :ivar recently_finished_: fingerprints of requests that recently finished.
    :ivar expiries_: expiry times of suspicions and of interrupted responses.
    """

    def __init__(self):
        self.crashes_ = {}
        self.changed_suspects_ = {}
        self.quarantined_ = frozenset()
        self.pending_quarantines_ = set()
        self.concurrent_suspects_ = set()
        self.running_ = {}
        self.recently_finished_ = RecencyMap(MAX_RECENTLY_FINISHED)
        self.expiries_ = DeadlineTable()

    def is_quarantined(self, fingerprint):
        """Return whether requests with a fingerprint are refused."""
        return fingerprint in self.quarantined_ or fingerprint in self.pending_quarantines_

    def is_suspect(self, fingerprint):
        """Return whether a fingerprint was running at a recent crash."""
        return fingerprint in self.crashes_

    def runs_suspect(self, upstream):
        """Return whether any suspect is running on an upstream."""
        return any(record.fingerprint in self.crashes_ for record in upstream.permits_)

    def may_run(self, fingerprint, upstream):
        """Return whether a request may start on an upstream.

        A fingerprint that recently finished always may. Any other may run on at most
        ``MAX_UPSTREAMS_AT_RISK`` upstreams at the same time, a suspect only if it runs nowhere.

        :param fingerprint: fingerprint of the request.
        :param upstream: the :class:`UpstreamState` that it would run on.
        """
        if fingerprint in self.recently_finished_:
            return True
        runs_by_upstream = self.running_.get(fingerprint)
        if not runs_by_upstream:
            return True
        if fingerprint in self.crashes_:
            return False
        others = len(runs_by_upstream) - (upstream in runs_by_upstream)
        return others < MAX_UPSTREAMS_AT_RISK

    def record_start(self, fingerprint, upstream):
        """Count the start of a run."""
        runs_by_upstream = self.running_.setdefault(fingerprint, {})
        runs_by_upstream[upstream] = runs_by_upstream.get(upstream, 0) + 1

    def record_end(self, fingerprint, upstream):
        """Count the end of a run, whatever its outcome."""
        runs_by_upstream = self.running_.get(fingerprint, {})
        runs_by_upstream[upstream] = runs_by_upstream.get(upstream, 0) - 1
        if runs_by_upstream[upstream] <= 0:
            del runs_by_upstream[upstream]
        if not runs_by_upstream:
            self.running_.pop(fingerprint, None)

    def retain_interrupted_run(self, fingerprint, upstream, now):
        """Keep counting a run whose response was interrupted, as the upstream may have crashed."""
        if fingerprint in upstream.interrupted_responses_:
            return
        upstream.interrupted_responses_[fingerprint] = now
        self.record_start(fingerprint, upstream)
        self.expiries_.add((fingerprint, upstream), now + INTERRUPTED_RESPONSE_RETENTION_S)

    def clear_interrupted(self, upstream):
        """Clear the interrupted responses of an upstream whose current boot is alive."""
        for fingerprint in upstream.interrupted_responses_:
            self.expiries_.remove((fingerprint, upstream))
            self.record_end(fingerprint, upstream)
        upstream.interrupted_responses_.clear()

    def record_finished(self, fingerprint):
        """Clear the suspicion of a fingerprint whose request finished and remember that it did."""
        self._clear_suspicion(fingerprint)
        self.expiries_.remove(fingerprint)
        self.recently_finished_.put(fingerprint)

    def record_crash(self, upstream, now):
        """Count a crash once for each fingerprint with a running or interrupted request there.

        :returns: the fingerprints to quarantine.
        """
        running = {record.fingerprint for record in upstream.permits_}
        suspects = running | upstream.interrupted_responses_.keys()
        self.clear_interrupted(upstream)
        self.concurrent_suspects_ |= {item for item in running if len(self.running_[item]) > 1}
        boot = f"{upstream.upstream_id}/{upstream.announcement.boot_id}"
        return self.count_crash(sorted(suspects), boot, now)

    def count_crash(self, suspects, boot, now):
        """Count the crash of one upstream boot for each of the given fingerprints.

        :param suspects: fingerprints that may have caused the crash.
        :param boot: upstream id and boot id, joined by a slash.
        :returns: the fingerprints to quarantine.
        """
        repeated = []
        for fingerprint in suspects:
            crashes = self.crashes_.setdefault(fingerprint, set())
            if boot in crashes:
                continue
            crashes.add(boot)
            self.changed_suspects_[fingerprint] = None
            self.recently_finished_.drop(fingerprint)
            self.expiries_.add(fingerprint, now + SUSPECT_RETENTION_S)
            if len(crashes) >= CRASHES_TO_QUARANTINE:
                repeated.append(fingerprint)
        if len(repeated) > 1:
            repeated = [item for item in repeated if item in self.concurrent_suspects_]
        self.pending_quarantines_.update(repeated)
        return repeated

    def set_quarantined(self, fingerprints):
        """Set the replicated list; a fingerprint removed by an operator is no longer a suspect."""
        quarantined = frozenset(fingerprints)
        for fingerprint in self.quarantined_ - quarantined:
            self._clear_suspicion(fingerprint)
        self.quarantined_ = quarantined
        self.pending_quarantines_ -= quarantined

    def expire(self, now):
        """Expire old suspicions and interrupted responses."""
        for item in self.expiries_.pop_due(now):
            if isinstance(item, tuple):
                fingerprint, upstream = item
                upstream.interrupted_responses_.pop(fingerprint, None)
                self.record_end(fingerprint, upstream)
            else:
                self._clear_suspicion(item)

    def take_changed(self):
        """Return and clear the suspects whose crashes changed since the last call."""
        changed = list(self.changed_suspects_)
        self.changed_suspects_.clear()
        return changed

    def restore_suspect(self, fingerprint, boots, now):
        """Restore the crashes that an earlier owner recorded for a suspect."""
        self.crashes_.setdefault(fingerprint, set()).update(boots)
        self.expiries_.add(fingerprint, now + SUSPECT_RETENTION_S)

    def _clear_suspicion(self, fingerprint):
        if self.crashes_.pop(fingerprint, None) is not None:
            self.changed_suspects_[fingerprint] = None
        self.concurrent_suspects_.discard(fingerprint)
