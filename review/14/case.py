"""Taking away the last keys opens the routes to everyone.

An operator takes keys away until the manifest's list of tenants is empty. Requests whose key was taken
away, whose key no manifest ever held, or that have none and name a tenant of their own choice, run.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from standin import manifest, read_body, request, run_case  # noqa: E402

HOST = "shop.example"
ZONES = ["zone-a"]
# Bounds of the site file: configApplyS 2.5 and revokeS 5.
REVOKE_S = 5.0


async def main(deployment, record, has_trouble):
    seen = {}

    async def run(endpoint, head, reader, writer):
        await read_body(reader, head)
        fields = {name: head.get(name) for name in ("authorization", "x-tenant") if head.get(name)}
        seen[head.get("x-attempt-id")] = fields
        record(f"the endpoint runs {head.get('x-attempt-id')} with {fields}")
        return 200, [], b"done"

    front, _ = await deployment.add("front", "zone-a", ZONES, run)
    await deployment.add("orders", "zone-a", ZONES, run)
    routes = [(HOST, "/order/", "safe", "orders", 2000)]
    tenants = [{"name": f"tenant-{name}", "apiKeys": [f"key-{name}"], "priority": 1, "ratePerS": 0, "burst": 0}
               for name in "ab"]
    await deployment.store.write("config", "main", manifest(1, routes, tenants))
    await deployment.wait_ready()
    await asyncio.sleep(3)

    async def ask(attempt, fields):
        status, _, _ = await request(front.outbound, HOST, "/order/x", attempt, fields=fields)
        record(f"{attempt} with {fields} gets {status}")
        return status

    if await ask("before-a", [("Authorization", "Token key-a")]) != 200:
        return 2
    if await ask("before-unknown", [("Authorization", "Token key-never-held")]) != 401:
        return 2
    # Keys are taken away by new versions, first all of one tenant.
    await deployment.store.write("config", "main", manifest(4, routes, tenants[1:]))
    record("the operator has taken away the keys of tenant-a")
    await asyncio.sleep(REVOKE_S + 1)
    if await ask("second-a", [("Authorization", "Token key-a")]) != 401:
        return 2
    if has_trouble:
        await deployment.store.write("config", "main", manifest(7, routes, []))
        record("the operator has taken away the keys of tenant-b, the last ones")
        await asyncio.sleep(REVOKE_S + 1)

    broken = []
    asked = {
        "taken-away": [("Authorization", "Token key-a")],
        "never-held": [("Authorization", "Token key-never-held")],
        "without-a-key": [],
        "foreign-tenant": [("X-Tenant", "tenant-b")],
    }
    for attempt, fields in asked.items():
        status = await ask(attempt, fields)
        if attempt in seen:
            broken.append(f"{attempt}: answered {status}, the endpoint saw {seen[attempt]}")
    print("requests that ran without a valid key:", *(broken or ["none"]), sep="\n  ")
    return 1 if broken else 0


run_case(main)
