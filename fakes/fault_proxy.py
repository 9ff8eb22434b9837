"""A TCP proxy on loopback that injects network faults into the connections that it forwards.

As a process: ``python -m fakes.fault_proxy TARGET_HOST TARGET_PORT [--port N] [--control N]``
prints ``port=N control=N`` and accepts one command per line on the control port: ``cut``,
``refuse``, ``delay 50 20``, ``freeze all``, ``half_open up``, ``mix swap``, ``truncate 100`` and
``heal``. Each is a method of :class:`FaultProxy`; the response is ``ok`` or ``error ...``.
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
MAX_CHUNK_BYTES = 65_536
MAX_QUEUED_CHUNKS = 64
# SO_LINGER switched on with a timeout of 0: closing the socket sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


class ProxiedConnection:
    """A client's connection and the proxy's connection to the target.

    :param client: socket of the client.
    :param upstream: socket of the target.

    :ivar endpoints: source and destination socket by direction, ``up`` or ``down``.
    :ivar unfrozen_: event that is set while bytes are forwarded.
    :ivar forwarded_bytes_: number of bytes forwarded or cut off by a byte limit, by direction.
    :ivar has_lost_bytes_: whether bytes were dropped.
    :ivar greenlets_: readers and writers of both directions.
    """

    def __init__(self, client, upstream):
        self.endpoints = {"up": (client, upstream), "down": (upstream, client)}
        self.unfrozen_ = Event()
        self.forwarded_bytes_ = {"up": 0, "down": 0}
        self.has_lost_bytes_ = False
        self.greenlets_ = []

    def close(self, with_reset):
        """Close both sockets and kill all greenlets except the calling one.

        :param with_reset: whether the peers receive a reset instead of an end of file.
        """
        for sock in self.endpoints["up"]:
            if with_reset:
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()
        others = [g for g in self.greenlets_ if g is not gevent.getcurrent()]
        gevent.killall(others, block=False)


class FaultProxy:
    """Forwards connections to a target and injects faults.

    Direction ``up`` is from the client to the target, ``down`` from the target to the client.

    :param target: host and port to forward to.
    :param port: port to listen on, 0 for any free port.

    :ivar address: host and port that the proxy listens on.
    :ivar connections_: open connections, a set of :class:`ProxiedConnection`.
    :ivar held_chunk_: a chunk that waits for a chunk of another connection while :meth:`mix` is in
        effect: its connection, its bytes and the result that its writer waits for; or ``None``.
    """

    def __init__(self, target, port=0):
        self.target = target
        self.connections_ = set()
        self.held_chunk_ = None
        self.server_ = None
        # Bound but not listening: reserves the port while new connections are refused.
        self.reserved_socket = self._bind(port)
        self.address = self.reserved_socket.getsockname()
        self._reset_faults()

    def start(self):
        """Listen, unless the proxy listens already."""
        if self.server_ is None:
            listener = self._bind(self.address[1])
            listener.listen(256)
            self.server_ = StreamServer(listener, self._handle_client)
            self.server_.start()
        return self

    def stop(self):
        """Stop listening and reset all connections."""
        self.refuse()
        self.cut()
        self.reserved_socket.close()

    def cut(self):
        """Reset all open connections; new ones are accepted."""
        for connection in list(self.connections_):
            self._close(connection, with_reset=True)

    def refuse(self):
        """Refuse new connections; open ones continue."""
        if self.server_ is not None:
            self.server_.stop(timeout=0)
            self.server_ = None

    def delay(self, up_ms, down_ms=0):
        """Delay each chunk by a time for its direction, milliseconds."""
        self.delays_s_ = {"up": float(up_ms) / 1000, "down": float(down_ms) / 1000}

    def freeze(self, which="existing"):
        """Keep connections open but forward neither bytes nor the end of file.

        :param which: ``existing`` for the open connections, ``all`` for new ones as well.
        """
        self.freezes_new_ = {"existing": False, "all": True}[which]
        for connection in self.connections_:
            connection.unfrozen_.clear()

    def half_open(self, direction):
        """Drop all bytes of one direction, ``up`` or ``down``."""
        self.dropped_direction_ = {"up": "up", "down": "down"}[direction]

    def mix(self, mode):
        """Exchange chunks from the target between pairs of connections.

        The first chunk is held until a chunk of another connection arrives.

        :param mode: ``swap`` gives each chunk to the other's client, ``reorder`` only changes the
            order in which they are delivered.
        """
        self.mix_mode_ = {"swap": "swap", "reorder": "reorder"}[mode]

    def truncate(self, after_bytes, direction="down"):
        """Close each connection with an end of file after a number of bytes of one direction."""
        self.byte_limits_ = {direction: int(after_bytes)}

    def heal(self):
        """End all faults; reset the connections that lost bytes."""
        self._reset_faults()
        self._release_held_chunk()
        for connection in list(self.connections_):
            if connection.has_lost_bytes_:
                self._close(connection, with_reset=True)
            connection.unfrozen_.set()
        self.start()

    def run_command(self, line):
        """Execute one line of the control port.

        :returns: ``ok``, or ``error`` and the reason.
        """
        name, *arguments = line.split() or [""]
        if name not in COMMANDS:
            return f"error unknown command {name!r}"
        try:
            getattr(self, name)(*arguments)
        except (KeyError, TypeError, ValueError) as error:
            return f"error {error!r}"
        return "ok"

    def serve_control(self, port=0):
        """Accept commands on a port, 0 for any free port.

        :returns: the started server.
        """

        def handle_commands(sock, _):
            with sock, sock.makefile("rw") as stream:
                while line := stream.readline():
                    print(self.run_command(line), file=stream, flush=True)

        server = StreamServer(("127.0.0.1", port), handle_commands)
        server.start()
        return server

    @staticmethod
    def _bind(port):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        return sock

    def _reset_faults(self):
        self.delays_s_ = {"up": 0.0, "down": 0.0}
        self.freezes_new_ = False
        self.dropped_direction_ = self.mix_mode_ = None
        self.byte_limits_ = {}

    def _handle_client(self, client, _):
        try:
            upstream = socket.create_connection(self.target, timeout=5)
        except OSError:
            ProxiedConnection(client, client).close(with_reset=True)
            return
        upstream.settimeout(None)
        connection = ProxiedConnection(client, upstream)
        self.connections_.add(connection)
        if not self.freezes_new_:
            connection.unfrozen_.set()
        for direction, (source, destination) in connection.endpoints.items():
            chunks = Queue(MAX_QUEUED_CHUNKS)
            reader = gevent.spawn(self._read_chunks, direction, source, chunks)
            writer = gevent.spawn(self._write_chunks, connection, direction, destination, chunks)
            connection.greenlets_ += [reader, writer]
        gevent.joinall(connection.greenlets_)
        self._close(connection, with_reset=False)

    def _close(self, connection, with_reset):
        self.connections_.discard(connection)
        connection.close(with_reset)

    def _read_chunks(self, direction, source, chunks):
        """Queue what a socket receives, each chunk with the time at which it may be forwarded.

        The last chunk is empty at an end of file and ``None`` after an error.
        """
        data = True
        while data:
            try:
                data = source.recv(MAX_CHUNK_BYTES)
            except OSError:
                data = None
            chunks.put((monotonic() + self.delays_s_[direction], data))

    def _write_chunks(self, connection, direction, destination, chunks):
        try:
            while data := self._wait_for_chunk(connection, chunks):
                self._forward(connection, direction, destination, data)
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(connection, with_reset=True)

    def _wait_for_chunk(self, connection, chunks):
        """Return the next chunk once it is due and the connection is not frozen.

        :raises ConnectionResetError: if the source failed.
        """
        due, data = chunks.get()
        gevent.sleep(max(due - monotonic(), 0))
        connection.unfrozen_.wait()
        if data is None:
            raise ConnectionResetError
        return data

    def _forward(self, connection, direction, destination, data):
        """Send one chunk, subject to the current faults."""
        if self.dropped_direction_ == direction:
            connection.has_lost_bytes_ = True
            return
        if self.mix_mode_ and direction == "down":
            data = self._exchange_chunk(connection, data)
        remaining = max(
            self.byte_limits_.get(direction, len(data) + 2**62)
            - connection.forwarded_bytes_[direction],
            0,
        )
        destination.sendall(data[:remaining])
        connection.forwarded_bytes_[direction] += len(data)
        if len(data) >= remaining:
            self._close(connection, with_reset=False)
            raise gevent.GreenletExit

    def _exchange_chunk(self, connection, data):
        """Hold a chunk, or pair it with the held chunk of another connection.

        :returns: the bytes to send on this connection.
        """
        if self.held_chunk_ is None or self.held_chunk_[0] is connection:
            self._release_held_chunk()
            self.held_chunk_ = (connection, data, AsyncResult())
            return self.held_chunk_[2].get()
        (_, held_data, result), self.held_chunk_ = self.held_chunk_, None
        first, second = (data, held_data) if self.mix_mode_ == "swap" else (held_data, data)
        gevent.spawn(result.set, first)
        return second

    def _release_held_chunk(self):
        if self.held_chunk_ is not None:
            self.held_chunk_[2].set(self.held_chunk_[1])
            self.held_chunk_ = None


def main(target_host, target_port, port=0, control=0):
    """Run a proxy as a process until it is killed.

    :param target_host: host to forward to.
    :param target_port: port to forward to.
    :param port: port to listen on, 0 for any free port.
    :param control: control port, 0 for any free port.
    """
    proxy = FaultProxy((target_host, target_port), port).start()
    server = proxy.serve_control(control)
    print(f"port={proxy.address[1]} control={server.server_port}", flush=True)
    server.serve_forever()


if __name__ == "__main__":
    import fire

    fire.Fire(main)
