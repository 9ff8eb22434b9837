"""Measures the relay of streams: the router against a plain gevent relay, in one run.

Three processes: engines that send one event of every running stream at each tick, the relay that
is measured, and callers. The relay's processor time is split into a part for each request and one
for each token by two loads, one of long and one of short answers.

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

ENGINES = 10
TICK_S = 0.026
SAMPLE_S = 0.001
BODY = b'{"messages":[{"role":"user","content":"%d"}],"stream":true,"max_tokens":%d}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
EVENT = (
    b'data: {"id":"chatcmpl-%s","object":"chat.completion.chunk","created":1700000000,'
    b'"model":"advisor","choices":[{"index":0,"delta":{"content":" butter"},'
    b'"finish_reason":null}]}\n\n'
)
END = b"data: [DONE]\n\n"
LOADS = {"long": (52, 223), "short": (200, 1)}


class Engine:
    """An engine that batches: at each tick every stream gets one event."""

    def __init__(self):
        self.streams = []
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        gevent.spawn(self.tick)

    def serve(self, sock, _):
        """Answer the requests of one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = sock.makefile("rb")
        while True:
            head = {}
            while (line := file.readline().strip()) or not head:
                if not line:
                    return
                name, _, value = line.partition(b": ")
                head[name.lower()] = value
            body = json.loads(file.read(int(head[b"content-length"])))
            request_id = head.get(b"x-request-id", b"none")
            event = EVENT % request_id.split(b".")[0]
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            done = gevent.event.Event()
            sock.sendall(HEAD + b"X-Request-Id: " + request_id + b"\r\n\r\n" + chunk)
            self.streams.append([sock, chunk, body["max_tokens"] - 1, done])
            done.wait()

    def tick(self):
        """Send one event on every stream."""
        due = time.monotonic()
        while True:
            due += TICK_S
            gevent.sleep(max(0.0, due - time.monotonic()))
            for stream in self.streams:
                sock, chunk, left, done = stream
                stream[2] = left - 1
                if left > 0:
                    sock.sendall(chunk)
                    continue
                sock.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(END), END))
                done.set()
            self.streams = [stream for stream in self.streams if stream[2] >= 0]


def run_engines(_):
    """Run the engines; prints their ports."""
    engines = [Engine() for _ in range(ENGINES)]
    print(json.dumps([engine.server.server_port for engine in engines]), flush=True)
    gevent.event.Event().wait()


def run_plain(options):
    """Run the plain relay: bytes both ways, no HTTP."""
    turn = iter(range(1_000_000_000))

    def copy(source, target):
        while data := source.recv(16_384):
            target.sendall(data)
        target.shutdown(socket.SHUT_WR)

    def serve(sock, _):
        port = options.ports[next(turn) % len(options.ports)]
        with open_socket(port) as upstream:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            back = gevent.spawn(copy, upstream, sock)
            try:
                copy(sock, upstream)
                back.join()
            except OSError:
                back.kill()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    report_usage(server.server_port, options)


def run_router(options):
    """Run the router's HTTP side on sources that grant everything."""
    from sassafrashook.proxy.tests._support import Router

    router = Router(first_byte_ms=30_000, progress_ms=5_000)
    for number, port in enumerate(options.ports):
        name = f"engine-{number}"
        router.permits.addresses.setdefault("assistant", []).append((name, "127.0.0.1", port))
        router.permits.boot_ids[name] = "1"
    router.server.start()
    report_usage(router.server.address[1], options)


def report_usage(port, options):
    """Print the port, then the processor time at each SIGUSR1 until killed."""
    print(port, flush=True)
    asked = gevent.event.Event()
    gevent.signal_handler(signal.SIGUSR1, asked.set)
    samples = start_sampling() if options.profile else None
    while True:
        asked.wait()
        asked.clear()
        if samples:
            write_samples(samples, options.profile)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(json.dumps([usage.ru_utime, usage.ru_stime]), flush=True)


def start_sampling():
    """Sample the stack at each millisecond of processor time.

    :returns: counter of ``(is_leaf, place)``.
    """
    samples = Counter()

    def sample(_, frame):
        leaf = True
        seen = set()
        while frame is not None:
            code = frame.f_code
            place = f"{code.co_filename.rsplit('/', 2)[-1]}:{code.co_qualname}"
            if leaf:
                samples[True, f"{place}:{frame.f_lineno}"] += 1
            if place not in seen:
                samples[False, place] += 1
            seen.add(place)
            leaf = False
            frame = frame.f_back

    signal.signal(signal.SIGPROF, sample)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_S, SAMPLE_S)
    return samples


def write_samples(samples, path):
    """Write the places by their share, lines that run themselves first."""
    samples = samples.copy()
    total = sum(count for (leaf, _), count in samples.items() if leaf)
    with open(path, "w", encoding="utf-8") as file:
        for (leaf, place), count in samples.most_common(120):
            file.write(f"{count / total:6.1%} {'self' if leaf else 'all '} {place}\n")


def open_socket(port):
    """Connect to a port of this host."""
    sock = socket.socket()
    sock.connect(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def run_callers(options):
    """Send chats at a steady rate; prints the times to the first token, seconds."""
    rate, tokens = LOADS[options.load]
    firsts = []
    failed = []
    idle = []

    def call(number):
        body = BODY % (number, tokens)
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer caller-key"
        data = head + b"\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        sock = idle.pop() if idle else open_socket(options.ports[number % len(options.ports)])
        started = time.monotonic()
        sock.sendall(data)
        last = b""
        while not last.endswith(b"0\r\n\r\n"):
            received = sock.recv(16_384)
            if not received:
                failed.append(number)
                return
            if b"data: " in received and not last:
                firsts.append(time.monotonic() - started)
                last = b"-"
            last = (last + received)[-64:]
        idle.append(sock)

    jobs = []
    due = time.monotonic()
    for number in range(int(rate * options.seconds)):
        due += 1 / rate
        gevent.sleep(max(0.0, due - time.monotonic()))
        jobs.append(gevent.spawn(call, number))
    gevent.joinall(jobs)
    firsts.sort()
    print(json.dumps({"count": len(jobs), "failed": len(failed), "firsts": firsts}), flush=True)


ROLES = {"engines": run_engines, "plain": run_plain, "router": run_router, "callers": run_callers}


def start(role, ports, options, load="long", profile=""):
    """Start one role as a process."""
    command = [sys.executable, "-m", "benchmarks.relay", "--role", role, "--load", load]
    command += ["--ports", json.dumps(ports), "--seconds", str(options.seconds)]
    command += ["--profile", profile]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def read_usage(process):
    """Ask a relay for its processor time in user and kernel mode, seconds."""
    process.send_signal(signal.SIGUSR1)
    return json.loads(process.stdout.readline())


def measure(role, ports, options):
    """Run both loads through one relay.

    :returns: mapping from load to ``(processor seconds, callers' report)``.
    """
    relay = None
    target = ports
    if role != "direct":
        relay = start(role, ports, options, profile=options.profile if role == "router" else "")
        target = [int(relay.stdout.readline())]
    results = {}
    try:
        for load in options.loads.split(","):
            before = read_usage(relay) if relay else (0.0, 0.0)
            callers = start("callers", target, options, load)
            report = json.loads(callers.communicate()[0])
            after = read_usage(relay) if relay else (0.0, 0.0)
            results[load] = (after[0] - before[0], after[1] - before[1], report)
    finally:
        if relay:
            relay.kill()
            relay.wait()
    return results


def split(results, index):
    """Return the microseconds for each request and each token.

    :param index: 0 for user mode, 1 for kernel mode.
    """
    request_s = results["short"][index] / results["short"][2]["count"]
    long_s = results["long"][index] / results["long"][2]["count"]
    return request_s * 1e6, (long_s - request_s) / (LOADS["long"][1] - 1) * 1e6


def show(role, results):
    """Print one line of figures for a relay."""
    if len(results) < len(LOADS):
        for load, (user_s, kernel_s, report) in results.items():
            print(role, load, (user_s + kernel_s) / report["count"] * 1e6, "us/request")
        return
    user, kernel = split(results, 0), split(results, 1)
    firsts = results["long"][2]["firsts"]
    p50, p99 = (firsts[int(len(firsts) * share)] * 1_000 for share in (0.5, 0.99))
    failed = sum(result[2]["failed"] for result in results.values())
    print(
        f"{role:8} {user[0] + kernel[0]:6.0f} us/request (kernel {kernel[0]:4.0f}) "
        f"{user[1] + kernel[1]:6.2f} us/token (kernel {kernel[1]:5.2f}) "
        f"first token p50 {p50:6.2f} ms p99 {p99:6.2f} ms failed {failed}",
        flush=True,
    )


def main():
    """Run one role, or the whole measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--role", choices=ROLES)
    parser.add_argument("--load", default="long")
    parser.add_argument("--ports", type=json.loads, default=[])
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--profile", default="")
    parser.add_argument("--loads", default="long,short", help="with one, no split is shown")
    parser.add_argument("--roles", default="direct,plain,router")
    options = parser.parse_args()
    if options.role:
        ROLES[options.role](options)
        return
    engines = start("engines", [], options)
    try:
        ports = json.loads(engines.stdout.readline())
        for role in options.roles.split(","):
            show(role, measure(role, ports, options))
    finally:
        engines.kill()
        engines.wait()


if __name__ == "__main__":
    main()
