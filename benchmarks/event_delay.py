"""Measures how much later than its upstream made it an event of a stream reaches the client.

The gateway runs in this process; upstream and clients run in a child process, so that both ends
read one clock.

Usage: ``python -m benchmarks.event_delay [--streams 20] [--seconds 3]``
"""

import argparse
import re
import sys
import time

import gevent
from gevent import socket

from benchmarks.forwarding import run_with_child
from sassafrashook.platform.tests.stand_ins import ScriptedUpstream, encode_request, find_header
from sassafrashook.telemetry import configure_logs

EVENT_S = 0.02  # between two events of a stream
LATE_S = 0.02
SENT_AT = re.compile(rb"data: ([\d.]+)\n\n")


def make_script(events):
    """Return a script that streams events which tell when they were made."""

    def run(_upstream, sock, head, _body):
        attempt = find_header(head, "X-Sassafrashook-Attempt-Id").encode()
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nX-Sassafrashook-Response-Signature: s\r\n"
            b"X-Sassafrashook-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n" % attempt
        )
        for number in range(events):
            event = b"id: %d\ndata: %.6f\n\n" % (number, time.monotonic())
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            gevent.sleep(EVENT_S)
        sock.sendall(b"0\r\n\r\n")
        return True

    return run


def read_stream(port, number):
    """Send one request; return the delay of each event, seconds."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(encode_request("/plans/7", b"x" * 800, request_id=f"s{number}"))
    delays, buffer = [], b""
    while not buffer.endswith(b"0\r\n\r\n"):
        data = sock.recv(65_536)
        if not data:
            break
        buffer += data
        for match in SENT_AT.finditer(buffer):
            delays.append(time.monotonic() - float(match.group(1)))
        buffer = buffer[buffer.rfind(b"\n\n") + 2 :] if b"\n\n" in buffer else buffer
    return delays


def run_child(streams, seconds):
    """Serve as upstream, then read streams through the gateway; print the delays."""
    upstream = ScriptedUpstream("u0", make_script(int(seconds / EVENT_S)))
    print(upstream.address[1], flush=True)
    port = int(sys.stdin.readline())
    readers = [gevent.spawn(read_stream, port, number) for number in range(streams)]
    delays = sorted(delay for reader in readers for delay in reader.get())
    late = sum(delay > LATE_S for delay in delays)
    middle, high = delays[len(delays) // 2], delays[len(delays) * 99 // 100]
    print(
        f"{len(delays)} events of {streams} streams: p50 {middle * 1e3:.2f} ms,"
        f" p99 {high * 1e3:.2f} ms, longest {delays[-1] * 1e3:.1f} ms, over 20 ms {late}",
        flush=True,
    )


def main():
    """Run the gateway and the child."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--streams", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--child", action="store_true")
    arguments = parser.parse_args()
    if arguments.child:
        run_child(arguments.streams, arguments.seconds)
        return
    configure_logs("error")
    options = (f"--streams={arguments.streams}", f"--seconds={arguments.seconds}")
    print(run_with_child("benchmarks.event_delay", "--child", *options)[0])


if __name__ == "__main__":
    main()
