"""Command line of the fuzzer: ``python -m sassafrashook.fuzzing``."""

import sys
import time

import fire

from sassafrashook.fuzzing import KNOWN_FAULTS, ChatReader, GatewayReader, find_discrepancy

READERS = {"gateway": GatewayReader, "chat": ChatReader}


def search(seed=1, seconds=60, reader=""):
    """Play generated responses against the readers and print the first discrepancy, shrunk.

    :param seed: seed of the first round.
    :param seconds: time after which no round begins.
    :param reader: ``gateway`` or ``chat``; both by default.
    """
    kinds = [READERS[reader]] if reader else list(READERS.values())
    deadline = time.monotonic() + seconds
    finding = find_discrepancy(seed, deadline=deadline, readers=[kind() for kind in kinds])
    print(f"streams={finding.count} found={finding.stream is not None}")
    if finding.stream is not None:
        print(finding.stream)
        print(finding.text)
        sys.exit(1)


def find_known_faults(seed=1, seconds=600):
    """Put each known fault back and print how many streams find it.

    :param seed: seed of the first round.
    :param seconds: time for each fault after which no round begins.
    """
    for fault in KNOWN_FAULTS:
        began_at = time.monotonic()
        with fault.put_back():
            deadline = began_at + seconds
            finding = find_discrepancy(
                seed, deadline=deadline, readers=[fault.reader], shrinks=False
            )
        duration_s = time.monotonic() - began_at
        found = finding.stream is not None
        print(f"{fault.name}: found={found} streams={finding.count} duration_s={duration_s:.1f}")


if __name__ == "__main__":
    fire.Fire({"search": search, "find-known-faults": find_known_faults})
