"""A large answer that breaks off discards finished answers in front of it.

Clients that read slowly send an order and, before it is answered, a further download. One of the two
endpoints of the download service breaks off a small part of its answers.
"""

import asyncio
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from standin import answer, manifest, read_body, run_case  # noqa: E402

HOST = "shop.example"
ZONES = ["zone-a"]
CLIENTS = 40
# garble: 5.5 s, 0.6 of the endpoints, 0.05 of their answers at most; here one of two, 1 in 20.
TROUBLE_S = 5.0
BROKEN_EVERY = 20
DOWNLOAD_BYTES = 160_000
RECEIPT_BYTES = 30_000
# LOST: more than three times.
ALLOWED_LOSSES = 3
# A client that reads slowly: it waits before it reads, and its window is small.
READ_DELAY_S = 0.35
WINDOW_BYTES = 8192


async def main(deployment, record, has_trouble):
    state = {"is_troubled": False, "answers": 0, "broken": 0}
    finished = set()

    def download(is_faulty):
        async def run(endpoint, head, reader, writer):
            await read_body(reader, head)
            await asyncio.sleep(0.1)
            body = b"d" * DOWNLOAD_BYTES
            if is_faulty and state["is_troubled"]:
                state["answers"] += 1
                if state["answers"] % BROKEN_EVERY == 0:
                    state["broken"] += 1
                    attempt = head.get("x-attempt-id")
                    record(f"endpoint {endpoint.instance} breaks off its answer to {attempt}")
                    fields = [("X-Attempt-Id", attempt), ("X-Server-Stamp", f"s.{attempt}")]
                    writer.write(answer(200, body, fields)[: -DOWNLOAD_BYTES // 4])
                    await writer.drain()
                    return None
            return 200, [], body

        return run

    async def take_order(endpoint, head, reader, writer):
        await read_body(reader, head)
        finished.add(head.get("x-attempt-id"))
        return 200, [], b"r" * RECEIPT_BYTES

    front, _ = await deployment.add("front", "zone-a", ZONES, take_order)
    await deployment.add("archive", "zone-a", ZONES, download(True))
    await deployment.add("archive", "zone-a", ZONES, download(False))
    await deployment.add("orders", "zone-a", ZONES, take_order)
    routes = [(HOST, "/proof/", "download", "archive", 4000), (HOST, "/order/", "unsafe", "orders", 4000)]
    await deployment.store.write("config", "main", manifest(1, routes))
    await deployment.wait_ready()
    await asyncio.sleep(3)

    lost = []
    counts = {"pairs": 0, "orders answered in full": 0, "downloads answered in full": 0}
    loop = asyncio.get_running_loop()

    async def client(number):
        turn, kept = 0, None
        while time.monotonic() < ends_at:
            if kept is None:
                kept = socket.socket()
                kept.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
                kept.setblocking(False)
                await loop.sock_connect(kept, front.outbound)
                # The connection is a kept one: it has carried a request before.
                first = f"first-{number}-{turn}"
                await loop.sock_sendall(kept, order_of(first))
                await receive(kept, first, b"")
            turn += 1
            order, proof = f"order-{number}-{turn}", f"proof-{number}-{turn}"
            record(f"client {number} sends {order} and {proof}")
            counts["pairs"] += 1
            try:
                await loop.sock_sendall(kept, order_of(order) + head_of("GET /proof/", proof, "\r\n"))
                await asyncio.sleep(READ_DELAY_S)
                rest = await receive(kept, order, b"")
                counts["orders answered in full"] += 1
                await receive(kept, proof, rest)
                counts["downloads answered in full"] += 1
            except ConnectionError as error:
                record(f"client {number}: the connection ends within the answer to {error}")
                if str(error) == order and order in finished:
                    lost.append(order)
                kept.close()
                kept = None

    async def receive(sock, attempt, received):
        """Receives a whole answer and returns what follows it."""
        while True:
            head, separator, body = received.partition(b"\r\n\r\n")
            if separator:
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                if len(body) >= length:
                    record(f"{attempt} is answered: {head.split(bytes([13]))[0].decode()}, {length} bytes")
                    return body[length:]
            try:
                part = await loop.sock_recv(sock, 4096)
            except ConnectionError:
                part = b""
            if not part:
                raise ConnectionError(attempt)
            received += part

    def order_of(attempt):
        return head_of("POST /order/", attempt, "Content-Length: 5\r\n\r\norder")

    def head_of(target, attempt, rest):
        return (f"{target}{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: 4000\r\n{rest}").encode()

    state["is_troubled"] = has_trouble
    ends_at = time.monotonic() + TROUBLE_S
    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    print(f"{counts}, answers of the faulty endpoint {state['answers']}, broken off {state['broken']}")
    print(f"orders that a sound endpoint ran and answered, without a whole answer at the client: {len(lost)}, "
          f"allowed {ALLOWED_LOSSES}")
    record(f"lost: {lost}")
    return 1 if len(lost) > ALLOWED_LOSSES else 0


run_case(main)
