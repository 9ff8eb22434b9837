"""Reads of large configuration documents, and documents that the link can't return in time."""

import gzip
import json
import zlib

import pytest
from falcon import testing

from sassafrashook.daemons._settings import NodeSettings
from sassafrashook.fleet import OperatorCommandOutcome
from sassafrashook.fleet._controller import OperatorCommandReply
from sassafrashook.platform._control import make_control_application
from sassafrashook.platform.tests.documents import make_config
from sassafrashook.transport import LinkPacer

LINK_BYTES_PER_S = 750_000  # 6 Mbit/s
READ_TIMEOUT_S = 1.0  # a caller waits this long for a response
LARGEST_BYTES = 600_000  # what 0.8 of the link carries in that time


class HeldDocument:
    """Stands in for the fleet controller: holds the last document."""

    def __init__(self):
        self.packed = b""
        self.pacer = LinkPacer(LINK_BYTES_PER_S)
        self.rollouts_ = None

    def put_configuration(self, _configuration, document):
        self.packed = zlib.compress(document, 6)
        return OperatorCommandReply(OperatorCommandOutcome.DONE)

    def read_packed_document(self):
        return self.packed


class FakeTime:
    """Clock that advances while the program sleeps."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


class Settings:
    """The settings that the control plane reads."""

    control = ("127.0.0.1", 8229)
    link_bytes_per_s = LINK_BYTES_PER_S


@pytest.fixture
def client():
    return testing.TestClient(make_control_application(HeldDocument(), Settings()))


def make_document(size):
    """Return a configuration document of exactly ``size`` bytes."""
    document = make_config()
    document["padding"] = ""
    filler = "".join(f"/path-{number}/{number * 7919 % 10007:x}" for number in range(size // 8))
    document["padding"] = filler[: size - len(json.dumps(document))]
    return json.dumps(document).encode()


def put(client, document):
    return client.simulate_put("/config", body=document)


@pytest.mark.parametrize(
    ("accepted", "encoding", "decode"),
    [
        ("gzip, deflate", "gzip", gzip.decompress),
        ("identity;q=0.1, gzip;q=0.01", "gzip", gzip.decompress),
        ("deflate", "deflate", zlib.decompress),
        ("*", "gzip", gzip.decompress),
        ("gzip;q=0, *;q=1", "deflate", zlib.decompress),
    ],
)
def test_large_document_is_returned_compressed_where_allowed(client, accepted, encoding, decode):
    """Guards against reads that take the link longer than a caller waits."""
    document = make_document(LARGEST_BYTES)
    assert put(client, document).status_code == 200
    response = client.simulate_get("/config", headers={"Accept-Encoding": accepted})
    assert response.headers["content-encoding"] == encoding
    assert response.headers["vary"] == "Accept-Encoding"
    assert len(response.content) < LINK_BYTES_PER_S * READ_TIMEOUT_S / 2
    assert decode(response.content) == document


def test_plain_document_is_written_at_the_pace_of_the_link(client, monkeypatch):
    """Guards against responses that fill the link, behind which heartbeats would wait."""
    clock = FakeTime()
    monkeypatch.setattr("sassafrashook.platform._control.time", clock)
    monkeypatch.setattr("sassafrashook.platform._control.gevent", clock)
    document = make_document(LARGEST_BYTES)
    put(client, document)
    assert client.simulate_get("/config").content == document
    fastest_s = len(document) / LINK_BYTES_PER_S
    assert fastest_s < clock.now <= READ_TIMEOUT_S


@pytest.mark.parametrize("accepted", [None, "", "br", "gzip;q=0", "gzip;q=0, deflate;q=x"])
def test_document_is_returned_plain_where_no_compression_is_allowed(client, accepted):
    document = make_document(100_000)
    put(client, document)
    headers = {} if accepted is None else {"Accept-Encoding": accepted}
    response = client.simulate_get("/config", headers=headers)
    assert "content-encoding" not in response.headers
    assert response.content == document


def test_document_that_takes_the_link_too_long_is_refused(client):
    """Guards against an acknowledged document that no caller can read back."""
    held = make_document(LARGEST_BYTES)
    assert put(client, held).status_code == 200
    headers = {"Accept-Encoding": "gzip"}
    response = put(client, make_document(LARGEST_BYTES + 1))
    assert response.status_code == 413
    assert "600001 bytes" in response.json["error"] and "600000" in response.json["error"]
    assert gzip.decompress(client.simulate_get("/config", headers=headers).content) == held


def test_bound_follows_the_bandwidth_of_the_link():
    settings = Settings()
    settings.link_bytes_per_s = NodeSettings.__dataclass_fields__["link_bytes_per_s"].default
    client = testing.TestClient(make_control_application(HeldDocument(), settings))
    assert put(client, make_document(2_000_000)).status_code == 200
