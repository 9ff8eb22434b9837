"""Decisions of the leading controller on a rollout."""

from collections import deque
from dataclasses import dataclass

from sassafrashook.rollouts._evidence import judge, sum_totals
from sassafrashook.rollouts._records import AdvanceRollout, FinishRollout, RolloutState, RolloutStep

__all__ = ["RolloutLeader", "RouterReport"]

TRIAL_BUDGET = 0.35  # part of the exposure bound that the trial may use
MAX_TRIAL_SHARE = 0.5
MIN_TRIAL_SHARE = 0.02
THROTTLED_SHARE = 0.005  # once the trial has used its part
HALF_WAY_SHARE = 0.4
HALF_WAY_MS = 800
MIN_FINAL_MS = 600
# Time for the switch of all traffic: the longest answer of the old version with a margin, two log
# entries, and three reports.
SWITCH_MARGIN_MS = 2_000
LONGEST_FACTOR = 1.1
MAX_SWITCH_FRACTION = 0.5
ANSWERS_NEEDED = 20
ANSWERS_NEEDED_FRACTION = 0.25  # of the requests of the trial, where there are few
IN_TOUCH_S = 2.0
# The answers of the last 1.5 to 2 s are tested on their own too. A shorter time has too few answers
# that take several times as long as usual.
RECENT_INTERVAL_S = 0.5
RECENT_INTERVALS = 4
MIN_WARM_UPSTREAMS = 3
MIN_WARM_FRACTION = 0.1
MS_PER_S = 1_000


@dataclass(slots=True, frozen=True)
class RouterReport:
    """Latest report of a router; the fields are those of its message.

    :param received_at: monotonic seconds.
    :param longest_ms: longest attempt at an old upstream.
    """

    received_at: float
    index: int
    boot: int
    running_old: int
    longest_ms: float
    totals: list


class RolloutLeader:
    """Decides the steps of one rollout from the routers' reports.

    :param rollout: the :class:`~sassafrashook.rollouts.Rollout` at the time of creation.
    :param bounds: the :class:`~sassafrashook.rollouts.RolloutBounds`.

    :ivar verdict_: the last :class:`~sassafrashook.rollouts._evidence.Verdict`.
    :ivar sent_new_: number of requests sent to the new version.
    :ivar sent_: number of requests sent to the service.
    """

    def __init__(self, rollout, bounds):
        self.order_index = rollout.order_index
        self.bounds = bounds
        self.verdict_ = judge(sum_totals(()))
        self.sent_new_ = 0
        self.sent_ = 0
        self._reports = {}
        self._earlier_boots = {}
        self._history = deque(maxlen=RECENT_INTERVALS)
        self._history_at = float("-inf")

    def record(self, router, report):
        """Record the report of a router.

        :param report: a :class:`RouterReport`.
        """
        known = self._reports.get(router)
        if known is not None and known.boot != report.boot:
            self._earlier_boots[(router, known.boot)] = known.totals
        self._reports[router] = report

    def decide(self, rollout, routers, warm, known, now, now_ms):
        """Return the next command, or ``None``.

        :param rollout: the current record.
        :param routers: names of the routers that are connected to this controller.
        :param warm: number of warm upstreams of the new version.
        :param known: number of usable upstreams of the new version.
        :param now: monotonic seconds.
        :param now_ms: Unix milliseconds.
        """
        totals = [entry for report in self._reports.values() for entry in report.totals]
        totals += [entry for entries in self._earlier_boots.values() for entry in entries]
        self.sent_ = sum(entry.sent for entry in totals)
        self.sent_new_ = sum(entry.sent for entry in totals if entry.is_new)
        sums = sum_totals(totals)
        self.verdict_ = judge(sums, self._history[0] if self._history else None)
        if now >= self._history_at + RECENT_INTERVAL_S:
            self._history.append(sums)
            self._history_at = now
        if self.verdict_.is_bad:
            return self._finish(rollout, RolloutState.REVERTED, self.verdict_.figures, now_ms)
        if rollout.step >= RolloutStep.SWITCHED:
            return self._decide_switched(rollout, routers, now, now_ms)
        if now_ms >= rollout.deadline_ms:
            return self._finish(rollout, RolloutState.REVERTED, "deadline", now_ms)
        return self._decide_trial(rollout, warm, known, now_ms)

    def _decide_trial(self, rollout, warm, known, now_ms):
        """Decide before all traffic goes to the new version."""
        elapsed_s = max(0.1, (now_ms - rollout.ordered_ms) / MS_PER_S)
        rate = self.sent_ / elapsed_s
        switch_at = rollout.deadline_ms - self._compute_switch_ms(rollout)
        half_way_at = switch_at - HALF_WAY_MS
        duration_s = (rollout.deadline_ms - rollout.ordered_ms) / MS_PER_S
        bound = self.bounds.share * rate * duration_s + self.bounds.tolerance
        spendable = TRIAL_BUDGET * bound
        if rollout.step is RolloutStep.HALF_WAY:
            is_due = now_ms >= max(switch_at, rollout.changed_ms + HALF_WAY_MS)
            if is_due and self._is_clear(0):
                return self._advance(rollout, 1.0, RolloutStep.SWITCHED, now_ms)
            return None
        if rollout.step is RolloutStep.WARMING:
            is_warm = warm >= max(min(MIN_WARM_UPSTREAMS, known), MIN_WARM_FRACTION * known, 1)
            if not is_warm:
                return None
            remaining_s = max(0.5, (half_way_at - now_ms) / MS_PER_S)
            share = spendable / max(0.1, rate * remaining_s)
            share = min(MAX_TRIAL_SHARE, max(MIN_TRIAL_SHARE, share))
            return self._advance(rollout, share, RolloutStep.TRIAL, now_ms)
        expected = self.sent_new_ if rollout.share <= THROTTLED_SHARE else spendable
        needed = min(ANSWERS_NEEDED, ANSWERS_NEEDED_FRACTION * min(expected, self.sent_ / 2))
        if now_ms >= half_way_at and self._is_clear(needed):
            share = max(HALF_WAY_SHARE, rollout.share)
            return self._advance(rollout, share, RolloutStep.HALF_WAY, now_ms)
        if self.sent_new_ > spendable and rollout.share > THROTTLED_SHARE:
            return self._advance(rollout, THROTTLED_SHARE, RolloutStep.TRIAL, now_ms)
        return None

    def _is_clear(self, needed):
        """Return whether the evidence allows a larger share."""
        return not self.verdict_.is_suspected and self.verdict_.answers >= needed

    def _compute_switch_ms(self, rollout):
        """Return how long before the deadline all traffic must be switched."""
        longest_ms = max((report.longest_ms for report in self._reports.values()), default=0.0)
        duration_ms = rollout.deadline_ms - rollout.ordered_ms
        needed_ms = LONGEST_FACTOR * longest_ms + SWITCH_MARGIN_MS
        return min(needed_ms, MAX_SWITCH_FRACTION * duration_ms)

    def _decide_switched(self, rollout, routers, now, now_ms):
        """Decide while all traffic goes to the new version."""
        if now_ms < rollout.changed_ms + MIN_FINAL_MS and not rollout.is_sealed:
            return None
        if not self._have_drained(rollout, routers, now) or self.verdict_.is_suspected:
            return None
        if rollout.is_sealed:
            return self._finish(
                rollout, RolloutState.COMPLETED, self.verdict_.figures, now_ms, rollout.index
            )
        return self._advance(rollout, 1.0, RolloutStep.SEALED, now_ms)

    def _have_drained(self, rollout, routers, now):
        """Return whether all routers in touch follow the record and run nothing at the old ones."""
        heard = {
            name: report
            for name, report in self._reports.items()
            if now < report.received_at + IN_TOUCH_S
        }
        return (
            bool(heard)
            and heard.keys() >= set(routers)
            and all(r.index == rollout.index and not r.running_old for r in heard.values())
        )

    def _advance(self, rollout, share, step, now_ms):
        return AdvanceRollout(rollout.service, rollout.index, now_ms, share, step)

    def _finish(self, rollout, state, reason, now_ms, base_index=0):
        return FinishRollout(
            rollout.service, rollout.order_index, base_index, now_ms, state, reason
        )
