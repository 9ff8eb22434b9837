"""Interface that translates a deployment's HTTP headers to and from the gateway's metadata."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PromptPart:
    """One part of a request's prompt.

    :param part_id: identifier of the content; equal parts have equal identifiers.
    :param tokens: length of the part, in tokens.
    """

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class RequestMetadata:
    """Metadata from the headers of a client's request.

    :param request_id: identifier that the client gives to each of its attempts, empty if absent.
        The gateway's retries of the request keep it.
    :param deadline_ms: time that the client waits for the response, counted from the arrival of
        the request, in milliseconds; ``None`` if absent.
    :param api_key: key of the client account, ``None`` if absent.
    :param parts: tuple of :class:`PromptPart` in the order of the prompt.
    :param last_event_id: id of the last event that the client has received, ``None`` unless it
        resumes a stream.
    :param stream_request_id: ``request_id`` of the client's attempt that began the stream that it
        resumes, ``None`` if absent.
    :param expects_version: whether an upstream must refuse it unless it has a version that the
        client names.
    """

    request_id: str
    deadline_ms: float | None
    api_key: str | None
    parts: tuple = ()
    last_event_id: str | None = None
    stream_request_id: str | None = None
    expects_version: bool = False


@dataclass(slots=True, frozen=True)
class ResponseMetadata:
    """Metadata from the head of an upstream's response.

    :param request_id: identifier of the request that it responds to, empty if absent.
    :param is_signed: whether it has the upstream's signature.
    :param was_not_executed: whether it states that the upstream did not execute the request.
    :param is_misdirected: whether it states that the request names another upstream than the one
        that received it.
    :param load: pair of the numbers of running and waiting requests at the upstream, ``None`` if
        absent.
    :param rate_limit: number of requests per second that the upstream accepts from all routers
        together, ``None`` if it states no limit, NaN if the value is malformed.
    :param is_leaving: whether it states that the upstream leaves.
    :param wait_s: time for which the upstream wants no requests from this router, in seconds;
        ``None`` if it states none, NaN if the value is malformed.
    :param upstream_id: name of the upstream that answered a health check, ``None`` if absent.
    :param slowdown: how long work takes at the upstream's host, as a multiple of the usual time;
        ``None`` if it states none.
    :param is_load_invalid: whether what it states of its load is malformed, and ignored.
    :param is_contradictory: whether it names several requests, or states both that it was
        successful and that the request was not executed.
    """

    request_id: str
    is_signed: bool
    was_not_executed: bool
    is_misdirected: bool = False
    load: tuple | None = None
    rate_limit: float | None = None
    is_leaving: bool = False
    wait_s: float | None = None
    is_contradictory: bool = False
    upstream_id: str | None = None
    slowdown: float | None = None
    is_load_invalid: bool = False


@dataclass(slots=True, frozen=True)
class ForwardingMetadata:
    """Metadata that the gateway adds to the request for an upstream.

    :param upstream_id: name of the upstream that the request is for; an upstream with another name
        must refuse it.
    :param deadline_ms: time that is left until the request's deadline, in milliseconds.
    :param account: name of the client account, ``None`` if there is none.
    :param priority: priority of the request, 0 is the highest; ``None`` if there is none.
    :param last_event_id: id of the event after which a stream resumes, ``None`` to start at its
        beginning.
    :param prompt_source: ``(host, port)`` of the upstream to try to copy cached parts of the prompt
        from, ``None`` if there is none.
    """

    upstream_id: str
    deadline_ms: float
    account: str | None
    priority: int | None
    last_event_id: str | None
    prompt_source: tuple | None = None


@dataclass(slots=True, frozen=True)
class PeerForwardingMetadata:
    """Metadata that a router adds to the request that it forwards to another router.

    :param deadline_ms: time that is left until the request's deadline, in milliseconds.
    :param last_event_id: id of the event after which a stream resumes, ``None`` to start at its
        beginning.
    :param stream_request_id: id of the request that began the stream, ``None`` unless it resumes.
    """

    deadline_ms: float
    last_event_id: str | None
    stream_request_id: str | None


class HeaderCodec(ABC):
    """Decodes and encodes the HTTP headers of one deployment."""

    @abstractmethod
    def decode_request_headers(self, headers):
        """Decode the headers of a client's request.

        :param headers: the client's :class:`~sassafrashook.http1.Headers`.
        :returns: a :class:`RequestMetadata`.
        """

    @abstractmethod
    def decode_response_head(self, head):
        """Decode the head of an upstream's response.

        :param head: a :class:`~sassafrashook.http1.ResponseHead`.
        :returns: a :class:`ResponseMetadata`.
        """

    @abstractmethod
    def encode_forwarded_headers(self, headers, forwarding):
        """Encode the headers of the request to an upstream.

        :param headers: the client's :class:`~sassafrashook.http1.Headers`.
        :param forwarding: a :class:`ForwardingMetadata`.
        :returns: list of (name, value) pairs of ``bytes``.
        """

    def encode_health_request(self, address):
        """Encode the headers of a health check of an upstream.

        :param address: pair of its host and port.
        :returns: list of (name, value) pairs of ``bytes``.
        """
        return [(b"Host", b"%s:%d" % (address[0].encode(), address[1]))]

    @abstractmethod
    def encode_peer_headers(self, headers, forwarding):
        """Encode the headers of the request to another router, which decodes them as a client's.

        :param headers: the client's :class:`~sassafrashook.http1.Headers`.
        :param forwarding: a :class:`PeerForwardingMetadata`.
        :returns: list of (name, value) pairs of ``bytes``.
        """
