"""A manifest with a rank of its own for each of many routes never comes into force."""

import asyncio
import collections
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
import kit  # noqa: E402

CONFIG_APPLY_S = 2.0
ADDED = 70
FEW_RANKS = 3
WATCHED_S = 8.0


def routes(service, added, trouble):
    """The route `/orders/` to a service, and further ones with a rank each, or with few ranks."""
    listed = [kit.route("r-orders", "/orders/", "safe", service, priority=0)]
    for number in range(1, added + 1):
        rank = number if trouble else number % FEW_RANKS
        listed.append(kit.route(f"r-more-{number}", f"/more{number}/", "safe", service,
                                priority=rank))
    return listed


async def run(fleet, trouble):
    desk = fleet.add("desk")
    fleet.add("kitchen-a")
    fleet.add("kitchen-b")
    old, new = fleet.back_ends[1:3]
    await fleet.start(routes("kitchen-a", 0, trouble), version=7)
    before = await kit.ask(desk, kit.request("GET", "/orders/20", "before"))
    fleet.record.note(f"version 7: GET /orders/20 gets {before}")

    fleet.store.put("config", "main", kit.manifest(12, routes("kitchen-b", ADDED, trouble)))
    acknowledged_at = time.monotonic()
    fleet.record.note(f"version 12 is accepted: /orders/ moves to kitchen-b, {ADDED} routes more")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    broken, number = [], 0
    counts = collections.Counter()
    while time.monotonic() - acknowledged_at < WATCHED_S:
        after = time.monotonic() - acknowledged_at
        for node in fleet.nodes:
            number += 1
            attempt = f"orders-{number}"
            await kit.ask(node, kit.request("GET", "/orders/20", attempt))
            if any(run.attempt == attempt for run in old.runs):
                counts["run by the old service"] += 1
                broken.append(f"{attempt}, sent {after:.1f} s after the ack, is run by kitchen-a")
            added = 1 + number % ADDED
            answer = await kit.ask(node, kit.request("GET", f"/more{added}/20", f"more-{number}"))
            if answer.startswith("404"):
                counts["404 on a route that is there"] += 1
                broken.append(f"more-{number}, sent {after:.1f} s after the ack, gets 404")
        await asyncio.sleep(0.2)
    fleet.record.note(f"of {2 * number} requests: {dict(counts)}; kitchen-b ran {len(new.runs)}")
    return broken


kit.main(FOLDER, run)
