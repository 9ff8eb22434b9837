"""Sends one order; the test suspends this process after the connection is established."""

import sys
import time

from sassafrashook.controller import OrderDocument, send_order


def main(port, timeout_ms, final_check):
    deadline = time.monotonic() + timeout_ms / 1000

    def may_send():
        print("connected", flush=True)
        sys.stdin.readline()
        return time.monotonic() < deadline or not final_check

    document = OrderDocument(1, "load_model", "m@1", time.time_ns() // 1_000_000 + timeout_ms)
    response = send_order("127.0.0.1", port, document, timeout_ms, may_send)
    print(response.status, flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3] == "enabled")
