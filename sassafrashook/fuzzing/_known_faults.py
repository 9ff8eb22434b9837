"""Faults that the readers once had, to show that the generated streams find them again."""

import contextlib
from dataclasses import dataclass
from unittest import mock

from geventhttpclient.response import HTTPResponse

from sassafrashook.fuzzing._readers import ChatReader, GatewayReader, ResponseReader
from sassafrashook.http1 import UpstreamConnection
from sassafrashook.http1 import _upstream as upstream_module
from sassafrashook.proxy import _connections as connections_module
from sassafrashook.proxy import _exchanges as exchanges_module
from sassafrashook.proxy._connections import UpstreamResponse

__all__ = ["KNOWN_FAULTS", "KnownFault"]


@dataclass(slots=True, frozen=True)
class KnownFault:
    """A fault that can be put back.

    :param name: what a caller saw.
    :param reader: the :class:`ResponseReader` that had it.
    :param patches: triples of an object, the name of its attribute and the faulty value.
    """

    name: str
    reader: ResponseReader
    patches: tuple[tuple[object, str, object], ...]

    @contextlib.contextmanager
    def put_back(self):
        """Return a context manager that puts the fault back while it is entered."""
        with contextlib.ExitStack() as stack:
            for target, attribute, value in self.patches:
                stack.enter_context(mock.patch.object(target, attribute, value))
            yield


has_delimited_body = exchanges_module.Exchange._has_delimited_body


def _has_length_or_chunks(exchange):
    """Return whether a response states its end, as it was decided before the fault was fixed."""
    encoding = exchange.response.get("transfer-encoding") or ""
    return exchange.response.content_length is not None or "chunked" in encoding


def _has_chunks_behind_any_blank(exchange):
    """Return whether a response states its end, where a tab behind ``chunked`` was ignored."""
    coding = exchange.response.get("transfer-encoding")
    if isinstance(coding, str) and coding.strip() == "chunked":
        return True
    return has_delimited_body(exchange)


class _HeadLenientResponse(UpstreamResponse):
    """Parser that ignores damage behind any head in response to ``HEAD``."""

    def __init__(self, method):
        super().__init__(method)
        if method == "HEAD":
            self.feed = super(UpstreamResponse, self).feed


KNOWN_FAULTS = (
    KnownFault(
        "a reset that only the sending task is told of ends a response",
        GatewayReader(),
        ((UpstreamConnection, "_check_end", lambda _connection: None),),
    ),
    KnownFault(
        "a folded line hides a length",
        GatewayReader(),
        ((UpstreamConnection, "_check_head_lines", lambda _connection: None),),
    ),
    KnownFault(
        "status 000 is passed on by the gateway",
        GatewayReader(),
        ((upstream_module, "is_response_status", lambda _status: True),),
    ),
    KnownFault(
        "status 000 is passed on by the chat interface",
        ChatReader(),
        ((exchanges_module, "is_response_status", lambda _status: True),),
    ),
    KnownFault(
        "two responses are joined",
        ChatReader(),
        ((UpstreamResponse, "_on_message_begin", HTTPResponse._on_message_begin),),
    ),
    KnownFault(
        "an informational response completes an exchange",
        ChatReader(),
        ((UpstreamResponse, "is_final_complete_", property(lambda r: r.message_complete)),),
    ),
    KnownFault(
        "an unknown coding is taken for chunks",
        ChatReader(),
        ((exchanges_module.Exchange, "_has_delimited_body", _has_length_or_chunks),),
    ),
    KnownFault(
        "a tab behind the coding chunked is ignored",
        ChatReader(),
        ((exchanges_module.Exchange, "_has_delimited_body", _has_chunks_behind_any_blank),),
    ),
    KnownFault(
        "an informational response hides a damaged head",
        ChatReader(),
        ((connections_module, "UpstreamResponse", _HeadLenientResponse),),
    ),
)
