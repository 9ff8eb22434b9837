"""An operator's client of the controllers."""

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
MIN_ANSWER_MS = 1_000
RESEND_PAUSE_MS = 200
STATUS_NOT_LEADER = 421
STATUS_UNAVAILABLE = 503


class ExitCode(IntEnum):
    """Exit codes of operator commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    UNAVAILABLE = 4
    NOT_IN_FORCE = 5


@dataclass(slots=True, frozen=True)
class ControllerAddress:
    """Where a controller listens for operators.

    :param host: IP number.
    :param port: TCP port.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Read ``host:port``.

        :raises ValueError: if it is not of that form.
        """
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))


@dataclass(slots=True, frozen=True)
class OperatorAnswer:
    """A controller's answer.

    :param status: HTTP status.
    :param body: the decoded JSON object.
    """

    status: int
    body: dict = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class OperatorError:
    """A command without an answer.

    :param exit_code: ``UNAVAILABLE`` if it was certainly not accepted, else ``UNKNOWN``.
    """

    exit_code: ExitCode
    detail: str


class OperatorClient:
    """Sends commands to whichever controller leads.

    A command that changes something carries a command id; it is sent again with the same id until
    an answer comes or the deadline has passed, and runs once.

    :param addresses: list of :class:`ControllerAddress`.
    :param key: the operator's key, or empty.
    :param deadline: monotonic seconds.

    See also :class:`OperatorAnswer`.
    """

    def __init__(self, addresses, key, deadline):
        self.addresses = addresses
        self.key = key
        self.deadline = deadline

    def call(self, method, path, body=None, command_id=None):
        """Send one command.

        :param body: the JSON object of a command that changes something, else ``None``.
        :param command_id: repeats an earlier command; a new one is made if it is left out.
        :returns: ``Success`` of an :class:`OperatorAnswer` or ``Failure`` of an
            :class:`OperatorError`.
        """
        if body is not None:
            body = {**body, "command_id": command_id or uuid.uuid4().hex}
        may_be_accepted = False
        while True:
            for address in self.addresses:
                attempt = self._try(address, method, path, body)
                if attempt.is_final:
                    return Success(attempt.answer)
                may_be_accepted = may_be_accepted or (attempt.was_sent and body is not None)
            if time.monotonic() + RESEND_PAUSE_MS / 1000 >= self.deadline:
                break
            gevent.sleep(RESEND_PAUSE_MS / 1000)
        if not may_be_accepted:
            return Failure(OperatorError(ExitCode.UNAVAILABLE, attempt.problem))
        advice = f"{attempt.problem}; send it again with --command-id={body['command_id']}"
        return Failure(OperatorError(ExitCode.UNKNOWN, advice))

    def _try(self, address, method, path, body):
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        data = b"" if body is None else json.dumps(body).encode()
        client = HTTPClient(
            address.host,
            address.port,
            connection_timeout=CONNECT_TIMEOUT_MS / 1000,
            network_timeout=max(MIN_ANSWER_MS / 1000, self.deadline - time.monotonic()),
        )
        try:
            response = client.request(method, path, body=data, headers=headers)
            answer = OperatorAnswer(response.status_code, json.loads(response.read() or b"{}"))
            return _Attempt(answer, _may_be_accepted(answer), str(answer.body))
        except ConnectionRefusedError:
            return _Attempt(None, False, f"{address.host}:{address.port} refuses connections")
        except (OSError, ValueError, HTTPParseError) as error:
            problem = f"{address.host}:{address.port}: {error or type(error).__name__}"
            return _Attempt(None, True, problem)
        finally:
            client.close()


@dataclass(slots=True, frozen=True)
class _Attempt:
    answer: OperatorAnswer | None
    was_sent: bool
    problem: str

    @property
    def is_final(self):
        temporary = (STATUS_NOT_LEADER, STATUS_UNAVAILABLE)
        return self.answer is not None and self.answer.status not in temporary


def _may_be_accepted(answer):
    if answer.status == STATUS_NOT_LEADER:
        return False
    return answer.body.get("verdict") != Verdict.NOT_RUN
