"""An acknowledged departure is forgotten when all processes end during an outage of the store.

An endpoint deregisters while the store is silent and goes on serving for a while. All nodes are
killed, the store is back, the nodes start again, and a check-in that the endpoint sent before its
departure arrives late.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from standin import manifest, read_body, request, run_case  # noqa: E402

HOST = "shop.example"
ZONES = ["zone-a", "zone-b"]
# Bounds of the site file.
DRAIN_S = 2.0
CONTACT_S = 3.0
# The store is silent for 4.5 s at most there.
OUTAGE_S = 4.0
# "A check-in may arrive seconds late."
LATE_S = 4.5


async def main(deployment, record, has_trouble):
    runs = []

    async def run(endpoint, head, reader, writer):
        await read_body(reader, head)
        runs.append((time.monotonic(), endpoint.instance, head.get("x-attempt-id")))
        await asyncio.sleep(0.02)
        return 200, [], b"done"

    fronts = [(await deployment.add("front", zone, ZONES, run))[0] for zone in ZONES]
    _, leaving = await deployment.add("orders", "zone-a", ZONES, run)
    await deployment.add("orders", "zone-b", ZONES, run)
    routes = [(HOST, "/order/", "unsafe", "orders", 2000)]
    await deployment.store.write("config", "main", manifest(1, routes))
    await deployment.wait_ready()

    sent = {}

    async def client(number):
        front, turn = fronts[number % len(fronts)], 0
        while True:
            turn += 1
            attempt = f"{number}-{turn}"
            sent[attempt] = time.monotonic()
            status, _, _ = await request(front.outbound, HOST, "/order/x", attempt, "POST", b"order")
            record(f"client {number} gets {status} for {attempt}")
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(number)) for number in range(8)]
    await asyncio.sleep(4)
    print(f"runs at the endpoint before it leaves: {sum(1 for _, i, _ in runs if i == leaving.instance)}")

    if has_trouble:
        record("the store is silent")
        deployment.store.fault = lambda label, method, path: "silent"
    outage_from = time.monotonic()
    await asyncio.sleep(2.3)
    # From now on the endpoint sends no check-ins but the late one and its departure.
    leaving.beats.cancel()
    leaving.sequence += 1
    late_sequence = leaving.sequence
    late_sent_at = time.monotonic()
    record(f"the endpoint sends the check-in {late_sequence}, ready, which will arrive late")
    await asyncio.sleep(0.3)
    if not await leaving.beat("deregister"):
        print("the departure was not acknowledged")
        return 2
    acked_at = time.monotonic()
    record("the departure is acknowledged")
    if has_trouble:
        for sidecar, _ in deployment.machines:
            sidecar.signal(signal.SIGKILL)
        for sidecar, _ in deployment.machines:
            sidecar.process.wait()
        await asyncio.sleep(max(0.0, outage_from + OUTAGE_S - time.monotonic()))
        record("the store is back")
        deployment.store.fault = lambda label, method, path: None
        for sidecar, _ in deployment.machines:
            sidecar.start()
    in_touch_at = time.monotonic() + CONTACT_S + 0.1
    await asyncio.sleep(max(0.0, late_sent_at + LATE_S - time.monotonic()))
    newest, leaving.sequence = leaving.sequence, late_sequence - 1
    record("the late check-in arrives")
    await leaving.beat()
    leaving.sequence = newest
    # The endpoint serves on: "at times many seconds".
    await asyncio.sleep(8)
    for task in clients:
        task.cancel()

    counted_from = max(acked_at + DRAIN_S, in_touch_at if has_trouble else 0)
    late_runs = [attempt for at, instance, attempt in runs
                 if instance == leaving.instance and at > acked_at + DRAIN_S]
    broken = [attempt for attempt in late_runs if sent[attempt] > counted_from]
    others = sum(1 for _, instance, _ in runs if instance != leaving.instance)
    print(f"requests run by the other endpoint: {others}")
    print(f"requests that reach the endpoint later than {DRAIN_S} s after the ack: {len(late_runs)}; "
          f"of these, sent while all machines were in touch: {len(broken)}")
    record(f"late runs: {late_runs}")
    return 1 if broken else 0


run_case(main)
