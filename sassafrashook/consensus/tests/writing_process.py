"""Process that proposes commands to a group of one replica and prints each reply."""

import sys
import time

from returns.result import Success

from sassafrashook.consensus import Replica
from sassafrashook.consensus.tests.test_replica import DigestStateMachine

WAIT_S = 30


def main(folder):
    """Print the number of recovered commands, then each reply, until killed.

    :param folder: path of the data folder.
    """
    replica = Replica(
        "a",
        ("a",),
        folder,
        DigestStateMachine(),
        None,
        bootstrap=True,
        heartbeat_ms=20,
        election_min_ms=50,
        election_max_ms=100,
        snapshot_entries=20,
    )
    replica.start()
    while not replica.get_leading_term(time.monotonic()):
        replica.confirm_read(time.monotonic() + 0.1)
    print(replica.state_machine.state[0], flush=True)
    while True:
        result = replica.propose(b"x", time.monotonic() + WAIT_S)
        if isinstance(result, Success):
            print(result.unwrap().decode(), flush=True)


if __name__ == "__main__":
    main(sys.argv[1])
