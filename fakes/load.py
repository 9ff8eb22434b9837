"""Sends chats and orders to a fleet, and checks the responses against what the upstreams ran."""

import time
from collections import Counter
from dataclasses import dataclass, field

import gevent
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPProtocolViolationError,
)

from fakes.engine import make_tokens
from fakes.fleet import CALLER_KEYS

HEALTH_CHECK_INTERVAL_S = 0.1
PAUSE_S = 0.02
ORDER_RETRY_DELAY_S = 0.2
CHAT_TOKENS = 20
MAX_ORDER_ATTEMPTS = 40
CONNECTION_ERRORS = (OSError, HTTPConnectionClosed, HTTPParseError, HTTPProtocolViolationError)


@dataclass(slots=True)
class Order:
    """An idempotent request to the ledger and the responses to all attempts to submit it.

    :param key: idempotency key.
    :param body: request body.
    :param responses: pairs of status and verdict; status 0 if the connection was lost.
    :param receipt: body of the successful response; empty without one.
    :param error_reasons: number of error responses by reason.
    """

    key: str
    body: bytes
    responses: list = field(default_factory=list)
    receipt: bytes = b""
    error_reasons: Counter = field(default_factory=Counter)


class LoadGenerator:
    """Runs concurrent callers until it is stopped.

    As a load balancer does, it polls the health checks of all routers and sends requests only to
    routers that serve.

    :param fleet: a started :class:`~fakes.fleet.Fleet`.
    :param rng: random generator for routers, conversations and accounts.
    :param chats: number of concurrent callers that send chats.
    :param orders: number of concurrent callers that send orders.

    :ivar counts_: number of chats by outcome: ``complete``, ``refused``, ``error_event`` if
        the stream ended with one, ``cut`` if it ended without, or ``connection_lost``.
    :ivar error_reasons_: number of failed chats by reason of the error or type of the exception.
    :ivar orders_: every :class:`Order` that was submitted.
    :ivar violations_: descriptions of responses that break a guarantee.
    :ivar serving_routers_: indexes of the routers whose last health check succeeded.
    """

    def __init__(self, fleet, rng, chats=8, orders=3):
        self.fleet = fleet
        self.rng = rng
        self.chat_callers = chats
        self.order_callers = orders
        self.counts_ = Counter()
        self.error_reasons_ = Counter()
        self.orders_ = []
        self.violations_ = []
        self.serving_routers_ = []
        self.is_stopping_ = False
        self.greenlets_ = []

    def start(self):
        """Start the callers."""
        self._check_health()
        tasks = [self._poll_health]
        tasks += [self._run_chats] * self.chat_callers
        tasks += [self._run_orders] * self.order_callers
        self.greenlets_ = [gevent.spawn(task, index) for index, task in enumerate(tasks)]
        return self

    def stop(self):
        """Stop the callers after their current requests."""
        self.is_stopping_ = True
        gevent.joinall(self.greenlets_, raise_error=True)
        return self

    def find_violations(self):
        """Return descriptions of all violated guarantees.

        Compares the responses to the orders with the executions that the ledger counted: an order
        runs at most once, none that ran was reported as not run, and none that was confirmed did
        not run.
        """
        executions_by_key = self.fleet.read_records("ledger")["executions"]
        violations = list(self.violations_)
        for order in self.orders_:
            executions = executions_by_key.get(order.key, 0)
            if executions > 1:
                violations.append(f"{order.key} ran {executions} times: {order.responses}")
            verdicts = [verdict for _, verdict in order.responses]
            if executions and verdicts and set(verdicts) == {"not_run"}:
                violations.append(f"{order.key} ran but all responses had verdict not_run")
            if not executions and order.receipt:
                violations.append(f"{order.key} has a receipt but did not run")
        return violations

    def _poll_health(self, _index):
        while not self.is_stopping_:
            self._check_health()
            gevent.sleep(HEALTH_CHECK_INTERVAL_S)

    def _check_health(self):
        names = self.fleet.routers
        self.serving_routers_ = [n for n, name in enumerate(names) if self.fleet.is_serving(name)]

    def _pick_router(self):
        while not self.serving_routers_:
            gevent.sleep(PAUSE_S)
            if self.is_stopping_:
                return 0
        return self.rng.choice(self.serving_routers_)

    def _run_chats(self, index):
        number = 0
        while not self.is_stopping_:
            number += 1
            self._send_chat(f"chat-{index}-{self.rng.randrange(5)}", f"question {number}")
            gevent.sleep(PAUSE_S)

    def _send_chat(self, conversation, question):
        messages = [{"role": "user", "content": f"{conversation}: {question}"}]
        body = {"model": "advisor", "stream": True, "max_tokens": CHAT_TOKENS, "messages": messages}
        headers = {"X-Conversation-Id": conversation, "Content-Type": "application/json"}
        account = self.rng.choice(list(CALLER_KEYS))
        try:
            response = self.fleet.send_request(
                self._pick_router(), "POST", "/v1/chat/completions", headers, body, account
            )
        except CONNECTION_ERRORS as error:
            is_cut = isinstance(error, HTTPParseError)
            self.counts_["cut" if is_cut else "connection_lost"] += 1
            self.error_reasons_[type(error).__name__] += 1
            return
        self._check_chat(response, messages)

    def _check_chat(self, response, messages):
        """Count the outcome of a chat, and compare its text with the tokens expected for it."""
        if response.status != 200:
            self.counts_["refused"] += 1
            self.error_reasons_[response.decode_error()["reason"]] += 1
            return
        expected = "".join(make_tokens(messages, CHAT_TOKENS))
        text = response.decode_text()
        if response.has_end_marker and text == expected:
            self.counts_["complete"] += 1
        elif response.has_end_marker or not expected.startswith(text):
            self.violations_.append(f"chat text differs: {text!r}, expected {expected!r}")
        elif response.has_error:
            self.counts_["error_event"] += 1
            self.error_reasons_[response.decode_error()["reason"]] += 1
        else:
            self.counts_["cut"] += 1

    def _run_orders(self, index):
        number = 0
        while not self.is_stopping_:
            number += 1
            order = Order(f"order-{index}-{number}", f'{{"kg": {number}}}'.encode())
            self.orders_.append(order)
            self._submit_order(order)
            gevent.sleep(PAUSE_S)

    def _submit_order(self, order):
        """Submit an order until it has a definite outcome or the attempts are used up."""
        for _ in range(MAX_ORDER_ATTEMPTS):
            try:
                response = self.fleet.send_order(self._pick_router(), order.key, order.body)
            except CONNECTION_ERRORS:
                order.responses.append((0, "lost"))
                gevent.sleep(ORDER_RETRY_DELAY_S)
                continue
            if response.status < 300:
                self._record_receipt(order, response)
                return
            error = response.decode_error()
            order.error_reasons[error.get("reason", "")] += 1
            # An error without a verdict counts as ran: the order is resubmitted only after a 409.
            verdict = error.get("verdict", "ran")
            order.responses.append((response.status, verdict))
            if verdict != "not_run" and response.status != 409:
                return
            gevent.sleep(ORDER_RETRY_DELAY_S)

    def _record_receipt(self, order, response):
        order.responses.append((response.status, "ran"))
        order.receipt = response.body
        if order.key.encode() not in response.body:
            self.violations_.append(
                f"{order.key} received the response to another order: {response.body!r}"
            )


def sleep(seconds):
    """Wait while the fleet and its callers run.

    :param seconds: time to wait.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        gevent.sleep(PAUSE_S)
