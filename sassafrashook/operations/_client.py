"""HTTP client for the operator API of the controllers."""

import json
import time
import uuid
from dataclasses import dataclass, field
from enum import IntEnum

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from returns.result import Failure, Success

from sassafrashook.outcomes import Verdict

CONNECT_TIMEOUT_MS = 1_000
MIN_RESPONSE_TIMEOUT_MS = 1_000
RETRY_DELAY_MS = 200
STATUS_REDIRECTED = 307  # by a controller of the platform that doesn't lead
STATUS_NOT_LEADER = 421
STATUS_UNAVAILABLE = 503


class ExitCode(IntEnum):
    """Exit codes of operator commands.

    ``OUTCOME_UNKNOWN`` means that the command may have been accepted, ``UNAVAILABLE`` that it was
    certainly not, and ``ROLLOUT_INCOMPLETE`` that it was accepted but not every router has
    confirmed it.
    """

    SUCCESS = 0
    REFUSED = 1
    USAGE_ERROR = 2
    OUTCOME_UNKNOWN = 3
    UNAVAILABLE = 4
    ROLLOUT_INCOMPLETE = 5


@dataclass(slots=True, frozen=True)
class ControllerAddress:
    """Address of a controller's operator API.

    :param host: IP address.
    :param port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Parse ``host:port``; an IPv6 address may stand in brackets.

        :raises ValueError: if the port is not a number.
        """
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))


@dataclass(slots=True, frozen=True)
class OperatorResponse:
    """Response of a controller.

    :param status: HTTP status code.
    :param body: decoded JSON object.
    """

    status: int
    body: dict = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class OperatorError:
    """Describes a command that received no final response.

    :param exit_code: ``UNAVAILABLE`` if it was certainly not accepted, else ``OUTCOME_UNKNOWN``.
    :param detail: error of the last attempt.
    """

    exit_code: ExitCode
    detail: str


class OperatorClient:
    """Sends commands to the leading controller.

    The addresses are tried in turn until a controller gives a final response or the deadline has
    passed. A command that changes state carries a command id and is retried with the same id, so
    it is executed at most once.

    :param addresses: list of :class:`ControllerAddress`.
    :param key: key of the operator, or empty to send none.
    :param deadline: end of the retries in monotonic seconds.

    See also :class:`OperatorResponse`.
    """

    def __init__(self, addresses, key, deadline):
        self.addresses = addresses
        self.key = key
        self.deadline = deadline

    def call(self, method, path, body=None, command_id=None):
        """Send one command and retry it until there is a final response.

        :param method: HTTP method.
        :param path: URL path.
        :param body: JSON object of a command that changes state, else ``None``.
        :param command_id: id of an earlier command to repeat; a new one is generated if omitted.
        :returns: ``Success`` of an :class:`OperatorResponse` or ``Failure`` of an
            :class:`OperatorError`.
        """
        if body is not None:
            body = {**body, "command_id": command_id or uuid.uuid4().hex}
        may_be_accepted = False
        while True:
            for address in self.addresses:
                attempt = self._send_once(address, method, path, body)
                if attempt.is_final:
                    return Success(attempt.response)
                may_be_accepted = may_be_accepted or (attempt.may_be_accepted and body is not None)
            if time.monotonic() + RETRY_DELAY_MS / 1000 >= self.deadline:
                break
            gevent.sleep(RETRY_DELAY_MS / 1000)
        if not may_be_accepted:
            return Failure(OperatorError(ExitCode.UNAVAILABLE, attempt.detail))
        detail = (
            f"{attempt.detail}; the command may have been accepted,"
            f" retry it with --command-id={body['command_id']}"
        )
        return Failure(OperatorError(ExitCode.OUTCOME_UNKNOWN, detail))

    def _send_once(self, address, method, path, body):
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        data = b"" if body is None else json.dumps(body).encode()
        client = HTTPClient(
            address.host,
            address.port,
            connection_timeout=CONNECT_TIMEOUT_MS / 1000,
            network_timeout=max(MIN_RESPONSE_TIMEOUT_MS / 1000, self.deadline - time.monotonic()),
        )
        try:
            http_response = client.request(method, path, body=data, headers=headers)
            response = OperatorResponse(
                http_response.status_code, json.loads(http_response.read() or b"{}")
            )
            return _Attempt(response, _may_be_accepted(response), str(response.body))
        except ConnectionRefusedError:
            return _Attempt(None, False, f"{address.host}:{address.port} refuses connections")
        except (OSError, ValueError, HTTPParseError) as error:
            detail = f"{address.host}:{address.port}: {error or type(error).__name__}"
            return _Attempt(None, True, detail)
        finally:
            client.close()


@dataclass(slots=True, frozen=True)
class _Attempt:
    """Result of sending a command to one controller.

    :param response: the response, ``None`` if the request failed.
    :param may_be_accepted: whether the controller may have accepted the command.
    :param detail: error or body of the response, for the operator.
    """

    response: OperatorResponse | None
    may_be_accepted: bool
    detail: str

    @property
    def is_final(self):
        temporary = (STATUS_REDIRECTED, STATUS_NOT_LEADER, STATUS_UNAVAILABLE)
        return self.response is not None and self.response.status not in temporary


def _may_be_accepted(response):
    if response.status in (STATUS_REDIRECTED, STATUS_NOT_LEADER):
        return False
    return response.body.get("verdict") != Verdict.NOT_RUN
