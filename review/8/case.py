"""An endpoint whose leaving was acknowledged is in use again after all processes were killed."""

import asyncio
import collections
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import kit  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
OUTAGE_S = 4.0
REQUESTS = 60
ROUTES = [kit.route("r-catalogue", "/catalogue/", "safe", "katalog")]


async def run(fleet, trouble):
    nodes = [fleet.add("katalog") for _ in range(3)]
    leaving = fleet.back_ends[0]
    await fleet.start(ROUTES)

    late_check_in = json.dumps(leaving.check_in_body())
    fleet.record.note(f"{leaving.instance} sends a check-in (ready) that arrives late")
    leaving.reporting.cancel()
    began_at = time.monotonic()
    if trouble:
        fleet.store.mode = "silent"
        fleet.record.note("the store falls silent")
    await asyncio.sleep(0.3)
    status, _ = await leaving.report("deregister", {"born": leaving.born})
    acknowledged_at = time.monotonic()
    fleet.record.note(f"deregister of {leaving.instance} is acknowledged with {status}")
    if status != 200:
        raise kit.CannotRun("the departure was not acknowledged")
    await asyncio.sleep(0.1)
    if trouble:
        for node in nodes:
            node.signal(signal.SIGKILL)
        for node in nodes:
            await node.process.wait()
        await asyncio.sleep(0.3)
        for node in nodes:
            await node.start()
    for _ in range(100):
        try:
            await kit.http_call(nodes[0].control, "POST",
                                f"/instances/{leaving.instance}/heartbeat", late_check_in)
            break
        except OSError:
            await asyncio.sleep(0.02)
    fleet.record.note("the late check-in arrives, "
                      f"{time.monotonic() - began_at:.2f} s after it was sent")
    await asyncio.sleep(max(0.0, began_at + OUTAGE_S - time.monotonic()))
    fleet.store.mode = "sound"
    fleet.record.note("the store answers")
    # From here on all machines are in touch.
    await asyncio.sleep(CONTACT_S + 0.5)

    earlier = len(leaving.runs)
    answers = collections.Counter()
    for number in range(REQUESTS):
        node = nodes[number % len(nodes)]
        answers[await kit.ask(node, kit.request("GET", "/catalogue/20", f"client-{number}"))] += 1
        await asyncio.sleep(0.03)
    fleet.record.note(f"answers: {dict(answers)}")
    return [f"{run.attempt} reached {leaving.instance} {run.at - acknowledged_at:.1f} s after the "
            "ack of its leaving" for run in leaving.runs[earlier:]
            if run.at - acknowledged_at > DRAIN_S]


kit.main(FOLDER, run)
