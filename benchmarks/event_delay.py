"""Measures the delay of stream events from the upstream through the gateway to the client.

The gateway (``sassafrashook.gateway``) runs in this process; the upstream and the clients run in
one child process, so that both ends of a delay are read from the same clock.

Usage: ``python -m benchmarks.event_delay [--streams 20] [--seconds 3]``
"""

import argparse
import re
import sys
import time

import gevent
from gevent import socket

from benchmarks.forwarding import run_with_child
from sassafrashook.platform.tests.scripted_upstreams import (
    ScriptedUpstream,
    encode_request,
    find_header,
)
from sassafrashook.telemetry import configure_logs

EVENT_INTERVAL_S = 0.02
LATE_THRESHOLD_S = 0.02
SENT_AT_PATTERN = re.compile(rb"data: ([\d.]+)\n\n")


def make_script(events):
    """Return an upstream script that streams events with the time at which each is sent.

    :param events: number of events per response.
    """

    def stream_events(_upstream, sock, head, _body):
        attempt = find_header(head, "X-Sassafrashook-Attempt-Id").encode()
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nX-Sassafrashook-Response-Signature: s\r\n"
            b"X-Sassafrashook-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n" % attempt
        )
        for number in range(events):
            event = b"id: %d\ndata: %.6f\n\n" % (number, time.monotonic())
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            gevent.sleep(EVENT_INTERVAL_S)
        sock.sendall(b"0\r\n\r\n")
        return True

    return stream_events


def measure_delays(port, number):
    """Send one request and return the delay of each event in seconds.

    :param port: port of the gateway.
    :param number: number of the stream.
    """
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(encode_request("/plans/7", b"x" * 800, request_id=f"s{number}"))
    delays, buffer = [], b""
    while not buffer.endswith(b"0\r\n\r\n"):
        data = sock.recv(65_536)
        if not data:
            break
        buffer += data
        for match in SENT_AT_PATTERN.finditer(buffer):
            delays.append(time.monotonic() - float(match.group(1)))
        buffer = buffer[buffer.rfind(b"\n\n") + 2 :] if b"\n\n" in buffer else buffer
    return delays


def run_child(streams, seconds):
    """Run the upstream, read streams through the gateway and print the delays.

    Prints the upstream's port first, then reads the gateway's port from standard input.

    :param streams: number of concurrent streams.
    :param seconds: duration of each stream.
    """
    upstream = ScriptedUpstream("u0", make_script(int(seconds / EVENT_INTERVAL_S)))
    print(upstream.address[1], flush=True)
    port = int(sys.stdin.readline())
    readers = [gevent.spawn(measure_delays, port, number) for number in range(streams)]
    delays = sorted(delay for reader in readers for delay in reader.get())
    late_count = sum(delay > LATE_THRESHOLD_S for delay in delays)
    p50, p99 = delays[len(delays) // 2], delays[len(delays) * 99 // 100]
    print(
        f"{len(delays)} events of {streams} streams: p50 {p50 * 1e3:.2f} ms,"
        f" p99 {p99 * 1e3:.2f} ms, max {delays[-1] * 1e3:.1f} ms, over 20 ms: {late_count}",
        flush=True,
    )


def main():
    """Run the gateway in this process, or the other side if ``--child`` is given."""
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
