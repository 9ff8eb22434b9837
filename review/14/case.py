"""One engine of eight spoils the load field of at most 2 in 100 of its answers: a wrong number."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from harness import Channel, Engine, make_config, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 24
ENGINES = 8
SECONDS = 45.0
SPOILED_EVERY = 50  # one answer in 50 is a share of 0.02
USUAL, WRONG = 100, 10**20  # the fourth figure, in percent of the usual time
MAX_CUT = 3  # the rule is broken by more than three
# As the small machines in front of the sites whose engines state the fourth figure.
EDGE_LIMITS = {"memory_mb": 152, "max_fds": 1535, "bandwidth_mbps": 3.5}
BOUNDS = {"contact_timeout_ms": 4000, "ack_timeout_ms": 5000, "catch_up_s": 6,
          "drain_timeout_ms": 2500, "config_apply_ms": 2500, "max_skew_ms": 6000,
          "recovery_s": 15, "delivery_delay_ms": 200}  # fmt: skip


async def play(deployment):
    record = deployment.record
    counts = {"answers": 0, "spoiled": 0}

    async def spoil_some(engine, first, fields, body, writer):
        counts["answers"] += 1
        figure = USUAL
        if HAS_TROUBLE and counts["answers"] % SPOILED_EVERY == 0:
            counts["spoiled"] += 1
            figure = WRONG
            record.write(f"ENGINE {engine.name} states {engine.load_field(figure)} as its load")
        await engine.answer(first, fields, body, writer, load=engine.load_field(figure))

    async def answer(engine, first, fields, body, writer):
        await engine.answer(first, fields, body, writer, load=engine.load_field(USUAL))

    sound = [Engine(deployment, n, work=answer, work_s=0.3) for n in range(ENGINES - 1)]
    faulty = Engine(deployment, ENGINES - 1, work=spoil_some, work_s=0.3)
    for engine in (*sound, faulty):
        await engine.start()
    await deployment.order("PUT", "/config", make_config(7))
    await deployment.wait_ready()
    await asyncio.sleep(5.0)  # all machines are in touch
    until = asyncio.get_running_loop().time() + SECONDS
    cut = {router: [] for router in deployment.routers}

    async def send_orders(router):
        channel = None
        while asyncio.get_running_loop().time() < until and sum(map(len, cut.values())) < 40:
            if channel is None or not channel.is_open:
                try:
                    channel = await Channel(deployment, router).open()
                except (OSError, TimeoutError):
                    await asyncio.sleep(0.1)
                    continue
            was_kept = channel.count > 0
            status, fields, _ = await channel.send("/orders/1")
            if status == "closed" and was_kept:
                cut[router].append(fields["attempt"])
            await asyncio.sleep(0.02)
        if channel is not None:
            channel.close()

    await asyncio.gather(*(send_orders(deployment.routers[n % 2]) for n in range(CLIENTS)))
    run_by_sound = {attempt for engine in sound for attempt in engine.run_ids}
    lost = {router: len(run_by_sound.intersection(cut[router])) for router in cut}
    record.write(
        f"RESULT {counts['spoiled']} wrong numbers in {counts['answers']} answers of {faulty.name};"
        f" {deployment.restart_count} processes ended by themselves; {lost} requests from kept"
        " channels were passed on to sound engines, and their channel was closed without an answer"
    )
    return max(lost.values()) <= MAX_CUT


run_case(Path(__file__).parent, play, HAS_TROUBLE, edge_limits=EDGE_LIMITS, bounds=BOUNDS)
