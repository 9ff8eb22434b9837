"""A core machine is replaced, the new one first; then two others lose their disks."""

import asyncio
import json
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from harness import call, make_config, run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SUCCESSOR_S = 10.0  # far beyond catch_up_s, 4
REMOVAL_S, LOSS_S, DOWN_S = 0.05, 0.15, 1.0
READ_S = 45.0  # recovery_s is 12


async def play(deployment):
    record, control = deployment.record, deployment.control
    first, successor = deployment.controllers[:5], deployment.controllers[5]
    await deployment.order("PUT", "/config", make_config(1))
    await deployment.wait_ready()
    deployment.start(successor)
    record.write(f"PLATFORM adds the core machine {successor} with an empty disk")
    await asyncio.sleep(SUCCESSOR_S)
    leader = deployment.find_leader()
    removed, *lost = [ip for ip in first if ip != leader][:3]
    record.write(f"the leader is {leader}")
    await deployment.order("PUT", "/config", make_config(3))
    await asyncio.sleep(REMOVAL_S)
    record.write(f"PLATFORM removes the core machine {removed} for good, without SIGTERM")
    deployment.kill(removed)
    await asyncio.sleep(LOSS_S)
    if HAS_TROUBLE:
        record.write(f"PLATFORM {lost} lose power and their disks")
        deployment.kill(*lost, wipes_disk=True)
        await asyncio.sleep(DOWN_S)
        for ip in lost:
            deployment.start(ip)
        record.write(f"PLATFORM {lost} are back with empty disks")
    running = [ip for ip in deployment.controllers if ip != removed]
    until, statuses = asyncio.get_running_loop().time() + READ_S, {}
    while asyncio.get_running_loop().time() < until:
        for ip in running:
            status, _, body = await call(ip, control, "GET", "/config")
            statuses[status] = statuses.get(status, 0) + 1
            if status == 200:
                version = json.loads(body)["version"]
                record.write(f"RESULT {ip} answers the read with version {version}; {statuses}")
                return version == 3
        await asyncio.sleep(0.3)
    record.write(f"RESULT version 3 was acknowledged; no read is answered within {READ_S} s: {statuses}")
    return False


run_case(Path(__file__).parent, play, HAS_TROUBLE, controllers=6, routers=1, spares=1)
