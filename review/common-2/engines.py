"""Stand-ins of model engines: they report to the core and answer requests with streams of events.

Part of the cases of the second review. Uses the standard library only.
"""

import http.client
import json
import os
import random
import socket
import struct
import threading
import time

from deployment import HEARTBEAT_MS, call, find_free_port

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SLOTS = 64
REPORT_TIMEOUT_S = 1.0


class Engine:
    """One engine, which may start again under its id and address.

    :param version: version of its software; each event of its streams names it.
    :param events: number of events of a whole stream.
    :param interval_s: time between two events.
    """

    def __init__(self, deployment, record, name, host, service, zone, events, interval_s):
        self.deployment, self.record, self.name = deployment, record, name
        self.host, self.service, self.zone = host, service, zone
        self.events, self.interval_s = events, interval_s
        self.port = find_free_port([host], 33_000, 34_000)
        self.version = ""
        self.begun = 0
        self._boot = 0
        self._listener = None
        self._channels = set()
        self._lock = threading.Lock()

    def start(self, version, report_delay_s=0.0):
        """Start; the first report arrives after a delay."""
        self._boot += 1
        self.version, self.begun = version, 0
        self._listener = socket.create_server((self.host, self.port), backlog=64)
        boot, born = self._boot, time.time_ns() // 1_000_000
        threading.Thread(target=self._accept, args=(boot, self._listener), daemon=True).start()
        threading.Thread(
            target=self._report, args=(boot, born, version, report_delay_s), daemon=True
        ).start()
        self.record.write(f"engine {self.name} starts: version {version}, boot {boot}")

    def crash(self):
        """End: all channels are reset, and nothing is said to the core."""
        self._boot += 1
        self._listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        self._listener.close()
        self.reset_channels()
        self.record.write(f"engine {self.name} has crashed")

    def reset_channels(self):
        with self._lock:
            channels, self._channels = self._channels, set()
        for channel in channels:
            try:
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                os.close(channel.detach())
            except OSError:
                pass  # closed by its thread meanwhile

    def _report(self, boot, born, version, delay_s):
        time.sleep(delay_s)
        sequence = 0
        while self._boot == boot:
            sequence += 1
            report = {
                "service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": version, "slots": SLOTS, "state": "ready", "warmup_remaining_ms": 0,
                "sequence": sequence, "born": born,
            }  # fmt: skip
            nodes = random.sample(self.deployment.cores, len(self.deployment.cores))
            for node in nodes:
                try:
                    status, _, _ = call(
                        node.control, "PUT", f"/instances/{self.name}", json.dumps(report),
                        {"Content-Type": "application/json"}, REPORT_TIMEOUT_S,
                    )  # fmt: skip
                except (OSError, http.client.HTTPException):
                    continue
                if status == 200:
                    if sequence == 1:
                        self.record.write(f"engine {self.name}: first report of version {version}")
                    break
            time.sleep(HEARTBEAT_MS / 1_000)

    def _accept(self, boot, listener):
        while self._boot == boot:
            try:
                channel, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._channels.add(channel)
            threading.Thread(target=self._serve, args=(boot, channel), daemon=True).start()

    def _serve(self, boot, channel):
        try:
            with channel.makefile("rb") as reader:
                while self._boot == boot and self._answer(channel, reader):
                    pass
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._channels.discard(channel)
            channel.close()

    def _answer(self, channel, reader):
        request_line = reader.readline()
        if not request_line:
            return False
        fields = {}
        while (line := reader.readline().strip()) != b"":
            name, _, value = line.partition(b":")
            fields[name.lower().decode()] = value.strip().decode("latin-1")
        reader.read(int(fields.get("content-length", 0)))
        attempt = fields.get("x-sassafrashook-attempt-id", "")
        common = (
            f"X-Sassafrashook-Instance-Id: {self.name}\r\n"
            f"X-Sassafrashook-Instance-Load: 0,0,{SLOTS}\r\n"
        )
        if b" /healthz " in request_line:
            channel.sendall(f"HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n".encode())
            return True
        if fields.get("x-sassafrashook-expect-instance", self.name) != self.name:
            channel.sendall(
                f"HTTP/1.1 421 Misdirected Request\r\n{common}"
                f"X-Sassafrashook-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        first = int(fields.get("last-event-id", 0)) + 1
        self.begun += 1
        self.record.write(
            f"engine {self.name} (version {self.version}) runs {attempt} from event {first}"
        )
        channel.sendall(
            f"HTTP/1.1 200 OK\r\n{common}X-Sassafrashook-Attempt-Id: {attempt}\r\n"
            "X-Sassafrashook-Response-Signature: 3e1b.07\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        version = self.version
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {version}\n\n".encode()
            channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.interval_s)
        channel.sendall(b"0\r\n\r\n")
        return True
