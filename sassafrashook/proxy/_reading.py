"""Reads request bodies within limits of size and time."""

import gevent
from returns.result import Success

from sassafrashook.outcomes import RefusalReason
from sassafrashook.proxy._requests import refuse_input

__all__ = ["read_body"]

READ_S = 15.0
SKIP_REST = "sassafrashook.skip_rest"


def read_body(request, limit):
    """Read the whole body of a falcon request.

    :param limit: largest body, bytes.
    :returns: ``Success`` of ``bytes``, or ``Failure`` of a refusal; then the rest of the body is
        not read and the connection ends.
    """
    length = request.content_length
    if length is not None and length > limit:
        return _stop(request, f"body has {length} bytes; allowed: up to {limit}", too_large=True)
    try:
        with gevent.Timeout(READ_S):
            body = request.env["wsgi.input"].read(limit + 1)
    except gevent.Timeout:
        return _stop(request, f"the body did not arrive within {READ_S:g} s")
    except OSError as error:
        return _stop(request, f"body: {error}")
    if len(body) > limit:
        return _stop(request, f"body is too large; allowed: up to {limit} bytes", too_large=True)
    return Success(body)


def _stop(request, detail, too_large=False):
    request.env[SKIP_REST] = True
    reason = RefusalReason.BODY_TOO_LARGE if too_large else RefusalReason.BAD_REQUEST
    return refuse_input(detail, reason)
