"""Estimates message delays between nodes whose clocks are not synchronized."""

from dataclasses import dataclass

MAX_CLOCK_DRIFT = 1e-3  # between two clocks, seconds per second
MAX_BOOTS_PER_PEER = 4


@dataclass(slots=True)
class Baseline:
    """Smallest clock difference observed for one boot of a sender.

    :param offset: receiver's clock minus sender's clock, seconds.
    :param set_at: when the offset was last updated, seconds of the receiver's clock.
    """

    offset: float
    set_at: float


class DelayEstimator:
    """Estimates how much longer each message took than the fastest one of the same sender.

    The first message of a sender's boot is assumed to have had no delay, because it arrives on a
    newly opened connection.

    Attributes:

    :ivar baselines_: a :class:`Baseline` for each sender and boot.
    """

    def __init__(self):
        self.baselines_ = {}

    def estimate_delay(self, peer, boot, sent_ms, now):
        """Return how much longer a message took than the fastest one of the same sender.

        :param peer: name of the sender.
        :param boot: boot hash of the sender; each boot has its own clock.
        :param sent_ms: the sender's clock when it sent, milliseconds.
        :param now: the receiver's clock, seconds.
        :returns: delay, seconds; never negative.
        """
        offset = now - sent_ms / 1000
        boots = self.baselines_.setdefault(peer, {})
        baseline = boots.get(boot)
        if baseline is None:
            if len(boots) >= MAX_BOOTS_PER_PEER:
                del boots[next(iter(boots))]
            boots[boot] = Baseline(offset, now)
            return 0.0
        drifted = baseline.offset + MAX_CLOCK_DRIFT * (now - baseline.set_at)
        baseline.offset = min(drifted, offset)
        baseline.set_at = now
        return offset - baseline.offset

    def remove(self, peer):
        """Remove the baselines of a sender."""
        self.baselines_.pop(peer, None)
