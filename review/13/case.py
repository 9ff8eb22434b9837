"""One engine of eight fails part of its orders with 503 after it has run them."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from harness import Channel, Engine, make_config, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINES = 8  # one of eight is a share of 0.125
FAILED = (2, 5)  # two in five requests: a share of 0.4
ORDERS = 120


async def play(deployment):
    record = deployment.record
    booked = []  # (order, attempt) of each order that an engine has entered in its books
    count = {"grey": 0}

    async def book(engine, first, fields, body, writer):
        booked.append((body.decode(), fields["x-sassafrashook-attempt-id"]))
        await engine.answer(first, fields, body, writer)

    async def book_and_fail(engine, first, fields, body, writer):
        attempt = fields["x-sassafrashook-attempt-id"]
        count["grey"] += 1
        if not HAS_TROUBLE or count["grey"] % FAILED[1] >= FAILED[0]:
            await book(engine, first, fields, body, writer)
            return
        booked.append((body.decode(), attempt))
        await asyncio.sleep(engine.work_s)
        record.write(f"ENGINE {engine.name} has run {attempt} and answers 503, not 'not executed'")
        text = b"the books are closed\n"
        writer.write(
            f"HTTP/1.1 503 Service Unavailable\r\nX-Sassafrashook-Attempt-Id: {attempt}\r\n"
            f"X-Sassafrashook-Response-Signature: 3e1b.{attempt}\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text
        )

    engines = [Engine(deployment, n, work=book) for n in range(ENGINES - 1)]
    engines.append(Engine(deployment, ENGINES - 1, work=book_and_fail))
    for engine in engines:
        await engine.start()
    await deployment.order("PUT", "/config", make_config(7))
    await deployment.wait_ready()
    await asyncio.sleep(4.0)  # all machines are in touch
    refused = []

    async def place(number):
        """Place an order; repeat it once if the answer promises that it has not run."""
        for attempt_number in range(2):
            router = deployment.routers[(number + attempt_number) % 2]
            channel = await Channel(deployment, router).open()
            status, fields, _ = await channel.send("/orders/1", body=f"order {number}".encode())
            channel.close()
            if status not in (408, 421, 429, 503):
                return
            refused.append(fields["attempt"])
            await asyncio.sleep(min(1.0, float(fields.get("retry-after", "0.1"))))

    for number in range(0, ORDERS, 4):
        await asyncio.gather(*(place(n) for n in range(number, number + 4)))
    run_ids = {attempt for _, attempt in booked}
    broken = [attempt for attempt in refused if attempt in run_ids]
    orders = [order for order, _ in booked]
    doubled = sorted({order for order in orders if orders.count(order) > 1})
    record.write(
        f"RESULT {len(refused)} answers promised that a request has not run; {len(broken)} of these"
        f" requests have run; {len(doubled)} orders were booked twice: {doubled}"
    )
    return not broken


run_case(Path(__file__).parent, play, HAS_TROUBLE)
