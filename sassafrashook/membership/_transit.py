"""Estimates how long a message was held up on its way, without agreement on time."""

from dataclasses import dataclass

CLOCK_RATE_MARGIN = 1e-3  # seconds a second by which two clocks may drift apart
BOOTS_LIMIT = 4


@dataclass(slots=True)
class Baseline:
    """The smallest difference seen between the receiver's and the sender's clock."""

    offset: float
    set_at: float


class TransitClock:
    """Compares the sender's time in each message with the fastest message seen from it.

    The first message of a sender's boot is taken as fast: it comes on a connection just opened.
    """

    def __init__(self):
        self.baselines_ = {}

    def measure_delay(self, peer, boot, sent_ms, now):
        """Return by how much a message took longer than the fastest from the same sender.

        :param peer: name of the sender.
        :param boot: number of its boot; each has its own clock.
        :param sent_ms: the sender's clock when it sent, milliseconds.
        :param now: the receiver's clock, seconds.
        :returns: seconds, 0 or more.
        """
        offset = now - sent_ms / 1000
        boots = self.baselines_.setdefault(peer, {})
        baseline = boots.get(boot)
        if baseline is None:
            if len(boots) >= BOOTS_LIMIT:
                del boots[next(iter(boots))]
            boots[boot] = Baseline(offset, now)
            return 0.0
        drifted = baseline.offset + CLOCK_RATE_MARGIN * (now - baseline.set_at)
        baseline.offset = min(drifted, offset)
        baseline.set_at = now
        return offset - baseline.offset

    def drop(self, peer):
        """Drop what is known of a sender."""
        self.baselines_.pop(peer, None)
