"""Answers of the gateway's own, in plain text."""

STATUS_UNAVAILABLE = 503
MS_PER_S = 1_000


def send_text(client, status, text, retry_after_ms=None):
    """Send a whole answer that no upstream gave.

    :param client: the :class:`~sassafrashook.http1.ServerConnection`.
    :param retry_after_ms: when the client is to come back, ``None`` if that is not said.
    :raises ClientGoneError: if the client takes no bytes.
    """
    fields = [(b"Content-Type", b"text/plain")]
    if retry_after_ms is not None:
        fields.append((b"Retry-After", b"%.3f" % (retry_after_ms / MS_PER_S)))
    client.send_response(status, fields, f"{text}\n".encode())
