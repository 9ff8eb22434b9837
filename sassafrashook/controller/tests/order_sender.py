"""A process that sends one order, and is frozen by its test between decision and send."""

import sys
import time

from sassafrashook.controller import OrderDocument, send_order


def main(port, valid_ms, checks):
    deadline = time.monotonic() + valid_ms / 1000

    def may_send():
        print("decided", flush=True)
        sys.stdin.readline()
        return time.monotonic() < deadline or not checks

    document = OrderDocument(1, "load_model", "m@1", time.time_ns() // 1_000_000 + valid_ms)
    response = send_order("127.0.0.1", port, document, valid_ms, may_send)
    print(response.status, flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3] == "checks")
