"""SIGTERM cuts pipelined requests at which endpoints are at work."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import kit  # noqa: E402

CLIENTS = 8
WORKS_MS = (300, 600, 900)
ROUTES = [kit.route("r-status", "/status/", "safe", "tracking")]


async def pipeline(fleet, node, number):
    """Sends three safe requests on a kept connection before the first is answered.

    Returns those that got no answer before the connection ended.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", node.outbound)
    writer.write(kit.request("GET", "/status/20", f"client-{number}-warm"))
    _, fields = await kit.read_head(reader)
    await kit.read_body(reader, fields)
    attempts = [f"client-{number}-{index}" for index in range(len(WORKS_MS))]
    for attempt, work_ms in zip(attempts, WORKS_MS):
        writer.write(kit.request("GET", f"/status/{work_ms}", attempt))
    fleet.record.note(f"client-{number} sends {', '.join(attempts)} on one connection")
    answered = 0
    try:
        for attempt in attempts:
            line, fields = await kit.read_head(reader)
            await kit.read_body(reader, fields)
            answered += 1
            fleet.record.note(f"client-{number} gets {line} for {fields['x-attempt-id']}, "
                              f"connection: {fields.get('connection', 'kept')}")
    except (asyncio.IncompleteReadError, ConnectionError):
        fleet.record.note(f"client-{number}: the connection ends after {answered} answers")
    finally:
        writer.close()
    return attempts[answered:]


async def run(fleet, trouble):
    node = fleet.add("desk")
    for _ in range(3):
        fleet.add("tracking")
    await fleet.start(ROUTES)
    clients = [asyncio.ensure_future(pipeline(fleet, node, n)) for n in range(CLIENTS)]
    await asyncio.sleep(0.2)
    passed_on = {run.attempt for back_end in fleet.back_ends for run in back_end.runs}
    if trouble:
        node.signal(signal.SIGTERM)
    unanswered = [attempt for client in clients for attempt in await client]
    await asyncio.sleep(0.2)
    return [f"{attempt} had been passed on to an endpoint when SIGTERM came, and its connection "
            "ended without an answer" for attempt in unanswered if attempt in passed_on]


kit.main(FOLDER, run)
