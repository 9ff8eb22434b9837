"""Plain-text responses that the gateway itself generates."""

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Set by a router on its own responses to requests that another router has forwarded to it.
VERDICT_HEADER = b"sassafrashook-verdict"
MS_PER_S = 1_000


def send_text(client, status, text, retry_after_ms=None, verdict=None):
    """Send a complete plain-text response.

    :param client: the :class:`~sassafrashook.http1.ServerConnection`.
    :param status: status code.
    :param text: the body, without its final newline.
    :param retry_after_ms: delay for the Retry-After header in milliseconds, ``None`` to omit the
        header. It is sent in seconds with three decimals, while RFC 9110 allows whole seconds only.
    :param verdict: :class:`~sassafrashook.outcomes.Verdict` for a router that has forwarded the
        request, ``None`` for a client.
    :raises ClientDisconnectedError: if sending fails or exceeds the timeout.
    """
    fields = [(b"Content-Type", b"text/plain")]
    if retry_after_ms is not None:
        fields.append((b"Retry-After", b"%.3f" % (retry_after_ms / MS_PER_S)))
    if verdict is not None:
        fields.append((VERDICT_HEADER, verdict.encode()))
    client.send_response(status, fields, f"{text}\n".encode())
