"""A TCP proxy on loopback that brings about the faults of a network, steered while it runs.

As a process: ``python -m fakes.fault_proxy TARGET_HOST TARGET_PORT [--port N] [--control N]``
prints ``port=N control=N`` and takes one command a line on the control port, answered by ``ok``
or ``error ...``: ``cut``, ``refuse``, ``delay 50 20``, ``freeze all``, ``half_open up``,
``mix swap``, ``truncate 100`` and ``heal``, each a method of :class:`FaultProxy`.
"""

import struct
from contextlib import suppress
from time import monotonic

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event
from gevent.queue import Queue
from gevent.server import StreamServer

COMMANDS = ["cut", "refuse", "delay", "freeze", "half_open", "mix", "truncate", "heal"]
CHUNK_BYTES = 65_536
CHUNKS_LIMIT = 64
LINGER_RESET = struct.pack("ii", 1, 0)


class Connection:
    """One caller's connection and its counterpart to the target."""

    def __init__(self, client, upstream):
        self.routes = {"up": (client, upstream), "down": (upstream, client)}
        self.flow = Event()
        self.passed = {"up": 0, "down": 0}
        self.is_lossy = False
        self.greenlets = []

    def close(self, with_reset):
        """End both connections and all greenlets but the calling one."""
        for sock in self.routes["up"]:
            if with_reset:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()
        others = [g for g in self.greenlets if g is not gevent.getcurrent()]
        gevent.killall(others, block=False)


class FaultProxy:
    """Forwards connections to a target; ``up`` is from the caller to the target.

    :param target: host and port to forward to.
    :param port: port to listen on, 0 for any.
    """

    def __init__(self, target, port=0):
        self.target = target
        self.connections = set()
        self.held = None
        self.server = None
        # Bound but not listening: keeps the port while new connections are refused.
        self.placeholder = self._bind(port)
        self.address = self.placeholder.getsockname()
        self._reset_faults()

    def start(self):
        """Listen; has no effect while listening."""
        if self.server is None:
            listener = self._bind(self.address[1])
            listener.listen(256)
            self.server = StreamServer(listener, self._accept)
            self.server.start()
        return self

    def stop(self):
        """End everything."""
        self.refuse()
        self.cut()
        self.placeholder.close()

    def cut(self):
        """Reset all connections now; new ones work."""
        for connection in list(self.connections):
            self._drop(connection, with_reset=True)

    def refuse(self):
        """Refuse new connections; existing ones go on."""
        if self.server is not None:
            self.server.stop(timeout=0)
            self.server = None

    def delay(self, up_ms, down_ms=0):
        """Hold each chunk for some milliseconds, each way."""
        self.delays = {"up": float(up_ms) / 1000, "down": float(down_ms) / 1000}

    def freeze(self, which="existing"):
        """Pass nothing more, end of file included, on ``existing`` connections or ``all``."""
        self.freezes_new = {"existing": False, "all": True}[which]
        for connection in self.connections:
            connection.flow.clear()

    def half_open(self, direction):
        """Drop all bytes of one direction, ``up`` or ``down``."""
        self.dropped = {"up": "up", "down": "down"}[direction]

    def mix(self, how):
        """``swap`` chunks of answers between two connections, or ``reorder`` them in time."""
        self.mixing = {"swap": "swap", "reorder": "reorder"}[how]

    def truncate(self, after_bytes, direction="down"):
        """End each connection, with an end of file, after so many bytes of a direction."""
        self.limits = {direction: int(after_bytes)}

    def heal(self):
        """End all faults; connections that lost bytes are reset."""
        self._reset_faults()
        self._release()
        for connection in list(self.connections):
            if connection.is_lossy:
                self._drop(connection, with_reset=True)
            connection.flow.set()
        self.start()

    def run_command(self, line):
        """Carry out one line of the control port and return the answer."""
        name, *arguments = line.split() or [""]
        if name not in COMMANDS:
            return f"error unknown command {name!r}"
        try:
            getattr(self, name)(*arguments)
        except (KeyError, TypeError, ValueError) as error:
            return f"error {error!r}"
        return "ok"

    def serve_control(self, port=0):
        """Take commands on a port; returns the started server."""

        def answer(sock, _):
            with sock, sock.makefile("rw") as stream:
                while line := stream.readline():
                    print(self.run_command(line), file=stream, flush=True)

        server = StreamServer(("127.0.0.1", port), answer)
        server.start()
        return server

    @staticmethod
    def _bind(port):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        return sock

    def _reset_faults(self):
        self.delays = {"up": 0.0, "down": 0.0}
        self.freezes_new = False
        self.dropped = self.mixing = None
        self.limits = {}

    def _accept(self, client, _):
        try:
            upstream = socket.create_connection(self.target, timeout=5)
        except OSError:
            Connection(client, client).close(with_reset=True)
            return
        upstream.settimeout(None)
        connection = Connection(client, upstream)
        self.connections.add(connection)
        if not self.freezes_new:
            connection.flow.set()
        for direction, (source, sink) in connection.routes.items():
            chunks = Queue(CHUNKS_LIMIT)
            reader = gevent.spawn(self._read, direction, source, chunks)
            writer = gevent.spawn(self._write, connection, direction, sink, chunks)
            connection.greenlets += [reader, writer]
        gevent.joinall(connection.greenlets)
        self._drop(connection, with_reset=False)

    def _drop(self, connection, with_reset):
        self.connections.discard(connection)
        connection.close(with_reset)

    def _read(self, direction, source, chunks):
        data = True
        while data:
            try:
                data = source.recv(CHUNK_BYTES)
            except OSError:
                data = None
            chunks.put((monotonic() + self.delays[direction], data))

    def _write(self, connection, direction, sink, chunks):
        try:
            while data := self._next(connection, chunks):
                self._pass(connection, direction, sink, data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._drop(connection, with_reset=True)

    def _next(self, connection, chunks):
        due, data = chunks.get()
        gevent.sleep(max(due - monotonic(), 0))
        connection.flow.wait()
        if data is None:
            raise ConnectionResetError
        return data

    def _pass(self, connection, direction, sink, data):
        if self.dropped == direction:
            connection.is_lossy = True
            return
        if self.mixing and direction == "down":
            data = self._mix(connection, data)
        room = max(self.limits.get(direction, len(data) + 2**62) - connection.passed[direction], 0)
        sink.sendall(data[:room])
        connection.passed[direction] += len(data)
        if len(data) >= room:
            self._drop(connection, with_reset=False)
            raise gevent.GreenletExit

    def _mix(self, connection, data):
        if self.held is None or self.held[0] is connection:
            self._release()
            self.held = (connection, data, AsyncResult())
            return self.held[2].get()
        (_, other, result), self.held = self.held, None
        first, second = (data, other) if self.mixing == "swap" else (other, data)
        gevent.spawn(result.set, first)
        return second

    def _release(self):
        if self.held is not None:
            self.held[2].set(self.held[1])
            self.held = None


def main(target_host, target_port, port=0, control=0):
    """Run as a process until killed."""
    proxy = FaultProxy((target_host, target_port), port).start()
    server = proxy.serve_control(control)
    print(f"port={proxy.address[1]} control={server.server_port}", flush=True)
    server.serve_forever()


if __name__ == "__main__":
    import fire

    fire.Fire(main)
