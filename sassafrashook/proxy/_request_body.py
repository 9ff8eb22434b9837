"""Reads request bodies with a size limit and a timeout."""

import gevent
from returns.result import Success

from sassafrashook.outcomes import RefusalReason
from sassafrashook.proxy._decoding import build_input_refusal

__all__ = ["read_body"]

READ_TIMEOUT_S = 15.0
CLOSE_WITH_UNREAD_BODY = "sassafrashook.close_with_unread_body"


def read_body(request, limit):
    """Read the whole body of a falcon request.

    After a refusal the rest of the body is discarded and the connection is closed.

    :param request: falcon request.
    :param limit: maximum size of the body in bytes.
    :returns: ``Success`` of the body as ``bytes``, or ``Failure`` of a
        :class:`~sassafrashook.outcomes.Refusal`.
    """
    length = request.content_length
    if length is not None and length > limit:
        return _refuse_body(
            request,
            f"request body of {length} bytes exceeds the limit of {limit} bytes",
            too_large=True,
        )
    try:
        with gevent.Timeout(READ_TIMEOUT_S):
            body = request.env["wsgi.input"].read(limit + 1)
    except gevent.Timeout:
        return _refuse_body(request, f"request body was not received within {READ_TIMEOUT_S:g} s")
    except OSError as error:
        return _refuse_body(request, f"request body could not be read: {error}")
    if len(body) > limit:
        return _refuse_body(
            request, f"request body exceeds the limit of {limit} bytes", too_large=True
        )
    return Success(body)


def _refuse_body(request, detail, too_large=False):
    request.env[CLOSE_WITH_UNREAD_BODY] = True
    reason = RefusalReason.BODY_TOO_LARGE if too_large else RefusalReason.BAD_REQUEST
    return build_input_refusal(detail, reason)
