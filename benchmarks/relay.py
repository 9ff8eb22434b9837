"""Measures the cost of relaying token streams, of the router and of a plain gevent relay.

The router is that of ``sassafrashook.proxy``.

Three processes run at a time: engines that send one event per stream and tick, the relay under
test, and callers. Two loads, one of long and one of short responses, separate the relay's processor
time into a cost per request and a cost per token.

Usage: ``python -m benchmarks.relay [--seconds 10] [--profile FILE]``
"""

import argparse
import json
import resource
import signal
import subprocess
import sys
import time
from collections import Counter

import gevent
import gevent.event
from gevent import socket
from gevent.server import StreamServer

ENGINE_COUNT = 10
TICK_INTERVAL_S = 0.026
PROFILE_INTERVAL_S = 0.001  # of processor time
REQUEST_BODY = b'{"messages":[{"role":"user","content":"%d"}],"stream":true,"max_tokens":%d}'
RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
)
EVENT_TEMPLATE = (
    b'data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":1700000000,'
    b'"model":"advisor","choices":[{"index":0,"delta":{"content":" butter"},'
    b'"finish_reason":null}]}\n\n'
)
END_EVENT = b"data: [DONE]\n\n"
# Requests per second and tokens per response.
LOADS = {"long": (52, 223), "short": (200, 1)}


class BatchingEngine:
    """An engine that sends one event on every stream at each tick.

    :ivar streams_: lists of a socket, the encoded chunk, the number of chunks left and the event
        that ends the request.
    """

    def __init__(self):
        self.streams_ = []
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        gevent.spawn(self.run_ticks)

    def serve(self, sock, _):
        """Start a stream for each request of a connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = sock.makefile("rb")
        while True:
            headers = {}
            while (line := file.readline().strip()) or not headers:
                if not line:
                    return
                name, _, value = line.partition(b": ")
                headers[name.lower()] = value
            body = json.loads(file.read(int(headers[b"content-length"])))
            request_id = headers.get(b"x-request-id", b"none")
            event = EVENT_TEMPLATE % request_id.split(b".")[0]
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            done = gevent.event.Event()
            sock.sendall(RESPONSE_HEAD + b"X-Request-Id: " + request_id + b"\r\n\r\n" + chunk)
            self.streams_.append([sock, chunk, body["max_tokens"] - 1, done])
            done.wait()

    def run_ticks(self):
        """Send one event on every stream at each tick, and end the streams that are complete."""
        next_tick = time.monotonic()
        while True:
            next_tick += TICK_INTERVAL_S
            gevent.sleep(max(0.0, next_tick - time.monotonic()))
            for stream in self.streams_:
                sock, chunk, remaining, done = stream
                stream[2] = remaining - 1
                if remaining > 0:
                    sock.sendall(chunk)
                    continue
                sock.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(END_EVENT), END_EVENT))
                done.set()
            self.streams_ = [stream for stream in self.streams_ if stream[2] >= 0]


def run_engines(_):
    """Run the engines and print their ports."""
    engines = [BatchingEngine() for _ in range(ENGINE_COUNT)]
    print(json.dumps([engine.server.server_port for engine in engines]), flush=True)
    gevent.event.Event().wait()


def run_plain(options):
    """Run the plain relay, which copies bytes in both directions without parsing HTTP."""
    numbers = iter(range(1_000_000_000))

    def copy_bytes(source, target):
        while data := source.recv(16_384):
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)

    def serve(sock, _):
        port = options.ports[next(numbers) % len(options.ports)]
        with connect(port) as upstream:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            response_copy = gevent.spawn(copy_bytes, upstream, sock)
            try:
                copy_bytes(sock, upstream)
                response_copy.join()
            except OSError:
                response_copy.kill()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    report_cpu_times(server.server_port, options)


def run_router(options):
    """Run the router's HTTP proxy with permit and claim clients that grant every request."""
    from sassafrashook.proxy.tests._support import Router

    router = Router(receive_timeout_ms=30_000, progress_timeout_ms=5_000)
    for number, port in enumerate(options.ports):
        name = f"engine-{number}"
        router.permits.addresses.setdefault("assistant", []).append((name, "127.0.0.1", port))
        router.permits.boot_ids[name] = "1"
    router.server.start()
    report_cpu_times(router.server.address[1], options)


def report_cpu_times(port, options):
    """Print the port, then the user and kernel mode seconds at each SIGUSR1 until killed."""
    report_requested = gevent.event.Event()
    gevent.signal_handler(signal.SIGUSR1, report_requested.set)
    print(port, flush=True)
    samples = start_sampling() if options.profile else None
    while True:
        report_requested.wait()
        report_requested.clear()
        if samples:
            write_samples(samples, options.profile)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(json.dumps([usage.ru_utime, usage.ru_stime]), flush=True)


def start_sampling():
    """Sample the call stack once per millisecond of processor time.

    :returns: counter of ``(is_leaf, location)``; a leaf location has a line number, and any other
        is a function on the stack.
    """
    samples = Counter()

    def record_stack(_, frame):
        is_leaf = True
        seen = set()
        while frame is not None:
            code = frame.f_code
            location = f"{code.co_filename.rsplit('/', 2)[-1]}:{code.co_qualname}"
            if is_leaf:
                samples[True, f"{location}:{frame.f_lineno}"] += 1
            if location not in seen:
                samples[False, location] += 1
            seen.add(location)
            is_leaf = False
            frame = frame.f_back

    signal.signal(signal.SIGPROF, record_stack)
    signal.setitimer(signal.ITIMER_PROF, PROFILE_INTERVAL_S, PROFILE_INTERVAL_S)
    return samples


def write_samples(samples, path):
    """Write the most frequent locations with their share of the samples.

    :param path: path of the text file; ``self`` marks the running line, ``all`` a function on the
        stack.
    """
    samples = samples.copy()
    total = sum(count for (is_leaf, _), count in samples.items() if is_leaf)
    with open(path, "w", encoding="utf-8") as file:
        for (is_leaf, location), count in samples.most_common(120):
            file.write(f"{count / total:6.1%} {'self' if is_leaf else 'all '} {location}\n")


def connect(port):
    """Return a socket that is connected to a port on loopback."""
    sock = socket.socket()
    sock.connect(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def run_callers(options):
    """Send chats at a fixed rate and print counts and the seconds to each first token."""
    rate, tokens = LOADS[options.load]
    first_token_times = []
    failed_numbers = []
    idle_sockets = []

    def send_chat(number):
        body = REQUEST_BODY % (number, tokens)
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer caller-key"
        request = head + b"\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        sock = (
            idle_sockets.pop()
            if idle_sockets
            else connect(options.ports[number % len(options.ports)])
        )
        started = time.monotonic()
        sock.sendall(request)
        tail = b""  # last 64 bytes, once the first token has arrived
        while not tail.endswith(b"0\r\n\r\n"):
            received = sock.recv(16_384)
            if not received:
                failed_numbers.append(number)
                return
            if b"data: " in received and not tail:
                first_token_times.append(time.monotonic() - started)
                tail = b"-"
            tail = (tail + received)[-64:]
        idle_sockets.append(sock)

    greenlets = []
    send_at = time.monotonic()
    for number in range(int(rate * options.seconds)):
        send_at += 1 / rate
        gevent.sleep(max(0.0, send_at - time.monotonic()))
        greenlets.append(gevent.spawn(send_chat, number))
    gevent.joinall(greenlets)
    first_token_times.sort()
    print(
        json.dumps(
            {
                "count": len(greenlets),
                "failed": len(failed_numbers),
                "first_token_s": first_token_times,
            }
        ),
        flush=True,
    )


ROLES = {"engines": run_engines, "plain": run_plain, "router": run_router, "callers": run_callers}


def start_process(role, ports, options, load="long", profile=""):
    """Start a process that runs one role."""
    command = [sys.executable, "-m", "benchmarks.relay", "--role", role, "--load", load]
    command += ["--ports", json.dumps(ports), "--seconds", str(options.seconds)]
    command += ["--profile", profile]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def read_cpu_times(process):
    """Return the seconds that a relay has run in user mode and in kernel mode."""
    process.send_signal(signal.SIGUSR1)
    return json.loads(process.stdout.readline())


def measure_relay(role, ports, options):
    """Run the loads through one relay, or without a relay for the role ``direct``.

    :returns: mapping from load to ``(user_s, kernel_s, report)``, where the relay's processor time
        is in seconds and the report is the one that the callers print.
    """
    relay = None
    target_ports = ports
    if role != "direct":
        relay = start_process(
            role, ports, options, profile=options.profile if role == "router" else ""
        )
        target_ports = [int(relay.stdout.readline())]
    results = {}
    try:
        for load in options.loads.split(","):
            before = read_cpu_times(relay) if relay else (0.0, 0.0)
            callers = start_process("callers", target_ports, options, load)
            report = json.loads(callers.communicate()[0])
            after = read_cpu_times(relay) if relay else (0.0, 0.0)
            results[load] = (after[0] - before[0], after[1] - before[1], report)
    finally:
        if relay:
            relay.kill()
            relay.wait()
    return results


def compute_unit_costs(results, index):
    """Return the microseconds per request and per token.

    :param index: 0 for user mode, 1 for kernel mode.
    """
    request_s = results["short"][index] / results["short"][2]["count"]
    long_s = results["long"][index] / results["long"][2]["count"]
    return request_s * 1e6, (long_s - request_s) / (LOADS["long"][1] - 1) * 1e6


def print_results(role, results):
    """Print one line with the costs and latencies of a relay."""
    if len(results) < len(LOADS):
        for load, (user_s, kernel_s, report) in results.items():
            print(role, load, (user_s + kernel_s) / report["count"] * 1e6, "us/request")
        return
    user, kernel = compute_unit_costs(results, 0), compute_unit_costs(results, 1)
    first_token_times = results["long"][2]["first_token_s"]
    p50, p99 = (
        first_token_times[int(len(first_token_times) * share)] * 1_000 for share in (0.5, 0.99)
    )
    failed = sum(result[2]["failed"] for result in results.values())
    print(
        f"{role:8} {user[0] + kernel[0]:6.0f} us/request (kernel {kernel[0]:4.0f}) "
        f"{user[1] + kernel[1]:6.2f} us/token (kernel {kernel[1]:5.2f}) "
        f"first token p50 {p50:6.2f} ms p99 {p99:6.2f} ms failed {failed}",
        flush=True,
    )


def main():
    """Run one role if ``--role`` is given, else the whole measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=ROLES)
    parser.add_argument("--load", default="long")
    parser.add_argument("--ports", type=json.loads, default=[])
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--profile", default="")
    parser.add_argument(
        "--loads", default="long,short", help="long, short or both; costs per token need both"
    )
    parser.add_argument("--roles", default="direct,plain,router")
    options = parser.parse_args()
    if options.role:
        ROLES[options.role](options)
        return
    engines = start_process("engines", [], options)
    try:
        ports = json.loads(engines.stdout.readline())
        for role in options.roles.split(","):
            print_results(role, measure_relay(role, ports, options))
    finally:
        engines.kill()
        engines.wait()


if __name__ == "__main__":
    main()
