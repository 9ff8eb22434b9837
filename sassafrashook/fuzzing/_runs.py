"""Runs of generated streams until one shows a discrepancy or the time is over."""

import time
from dataclasses import dataclass
from unittest import mock

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis.internal.conjecture.providers import HypothesisProvider

from sassafrashook.fuzzing._checks import READERS, DiscrepancyError, check_stream
from sassafrashook.fuzzing._grammar import generate_streams
from sassafrashook.fuzzing._streams import ResponseStream

__all__ = ["Finding", "find_discrepancy"]

STREAMS_PER_ROUND = 1_000


@dataclass(slots=True, frozen=True)
class Finding:
    """Result of a run.

    :param count: number of streams that were generated up to the first discrepancy, or in all.
    :param stream: the shrunk :class:`ResponseStream`, ``None`` if there was no discrepancy.
    :param text: description of the discrepancy.
    """

    count: int
    stream: ResponseStream | None = None
    text: str = ""


class _Round:
    """Checks one round of streams and remembers the last one with a discrepancy."""

    def __init__(self, readers):
        self.readers = readers
        self.count = 0
        self.found_at = None
        self.stream = None

    def check(self, stream):
        self.count += 1
        try:
            check_stream(stream, self.readers)
        except DiscrepancyError:
            self.found_at = self.found_at or self.count
            self.stream = stream
            raise


def find_discrepancy(first_seed, max_streams=None, deadline=None, readers=READERS, shrinks=True):
    """Generate streams until a reader treats one as it must not.

    A seed gives the same streams whatever other modules are loaded.

    :param first_seed: seed of the first round; each round adds one to it.
    :param max_streams: number of streams after which the run ends, ``None`` for no limit.
    :param deadline: monotonic seconds after which no round begins, ``None`` for no limit.
    :param readers: sequence of :class:`ResponseReader`.
    :param shrinks: whether a stream with a discrepancy is replaced by the simplest one like it.
    :returns: a :class:`Finding`.
    """
    count = 0
    round_seed = first_seed
    while True:
        size = STREAMS_PER_ROUND if max_streams is None else max_streams - count
        if size <= 0 or (deadline is not None and time.monotonic() >= deadline):
            return Finding(count)
        finding = _run_round(round_seed, min(size, STREAMS_PER_ROUND), readers, shrinks)
        count += finding.count
        if finding.stream is not None:
            return Finding(count, finding.stream, finding.text)
        round_seed += 1


def _draw_no_constants():
    """Return a context manager in which Hypothesis draws no constants of the loaded modules.

    Else a seed would give other streams when a number in an unrelated source changes.
    """
    return mock.patch.object(HypothesisProvider, "_maybe_draw_constant", _draw_no_constant)


def _draw_no_constant(_provider, _choice_type, _constraints, *, p=0.0):
    return None


def _run_round(round_seed, size, readers, shrinks):
    state = _Round(readers)

    @seed(round_seed)
    @settings(
        max_examples=size,
        database=None,
        deadline=None,
        phases=(Phase.generate, Phase.shrink) if shrinks else (Phase.generate,),
        suppress_health_check=list(HealthCheck),
        report_multiple_bugs=False,
    )
    @given(generate_streams())
    def check_generated(stream):
        state.check(stream)

    try:
        with _draw_no_constants():
            check_generated()
    except DiscrepancyError as error:
        return Finding(state.found_at, state.stream, str(error))
    return Finding(state.count)
