"""Generated responses of upstreams, played against the readers of both kinds of fleets.

It needs ``hypothesis``, which only the development requirements declare.
"""

from sassafrashook.fuzzing._checks import DiscrepancyError, check_stream
from sassafrashook.fuzzing._grammar import generate_streams
from sassafrashook.fuzzing._known_faults import KNOWN_FAULTS, KnownFault
from sassafrashook.fuzzing._readers import ChatReader, GatewayReader, Outcome, ResponseReader
from sassafrashook.fuzzing._reference import Reading, Wholeness, read_response
from sassafrashook.fuzzing._runs import Finding, find_discrepancy
from sassafrashook.fuzzing._streams import ResponseStream, StreamEnd

__all__ = [
    "KNOWN_FAULTS",
    "ChatReader",
    "DiscrepancyError",
    "Finding",
    "GatewayReader",
    "KnownFault",
    "Outcome",
    "Reading",
    "ResponseReader",
    "ResponseStream",
    "StreamEnd",
    "Wholeness",
    "check_stream",
    "find_discrepancy",
    "generate_streams",
    "read_response",
]
