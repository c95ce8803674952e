"""A planned stop ends before its last answers have reached clients that read slowly.

The machine that takes the requests gets SIGTERM. Clients send a download to it while it still says that
it serves, read nothing for a while, send a further safe request and then read.
"""

import asyncio
import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from standin import manifest, read_body, run_case  # noqa: E402

HOST = "shop.example"
ZONES = ["zone-a"]
CLIENTS = 8
# A bound of the site file.
GRACE_S = 6.0
# The clients send this long after the SIGTERM, while the platform still counts the machine as ready.
SEND_AFTER_S = 0.9
# They send a further request and begin to read this long after the SIGTERM.
READ_AFTER_S = 3.7
WINDOW_BYTES = 8192
DOWNLOAD_BYTES = 36_000
TIME_LIMIT_MS = 4000


async def main(deployment, record, has_trouble):
    finished = {}

    async def run(endpoint, head, reader, writer):
        await read_body(reader, head)
        await asyncio.sleep(0.05)
        finished[head.get("x-attempt-id")] = time.monotonic()
        return 200, [], b"d" * DOWNLOAD_BYTES

    front, _ = await deployment.add("front", "zone-a", ZONES, run)
    await deployment.add("front", "zone-a", ZONES, run)
    await deployment.add("archive", "zone-a", ZONES, run)
    await deployment.store.write("config", "main",
                                 manifest(1, [(HOST, "/proof/", "download", "archive", TIME_LIMIT_MS)]))
    await deployment.wait_ready()
    await asyncio.sleep(3.5)

    loop = asyncio.get_running_loop()
    begun_at = time.monotonic()

    def request_of(attempt):
        return (f"GET /proof/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Deadline-Ms: {TIME_LIMIT_MS}\r\n\r\n").encode()

    async def until(seconds):
        await asyncio.sleep(max(0.0, begun_at + seconds - time.monotonic()))

    async def receive(sock, received=b""):
        """Receives one answer; returns whether it is whole, and its bytes."""
        while True:
            head, separator, body = received.partition(b"\r\n\r\n")
            if separator:
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                if len(body) >= length:
                    return True, received
            try:
                part = await loop.sock_recv(sock, 4096)
            except ConnectionError as error:
                record(f"a client gets {type(error).__name__}")
                part = b""
            if not part:
                return False, received
            received += part

    async def client(number):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, front.outbound)
        await loop.sock_sendall(sock, request_of(f"first-{number}"))
        await receive(sock)
        await until(SEND_AFTER_S)
        attempt = f"proof-{number}"
        record(f"client {number} sends {attempt}")
        await loop.sock_sendall(sock, request_of(attempt))
        await until(READ_AFTER_S)
        record(f"client {number} sends a further request and reads")
        try:
            await loop.sock_sendall(sock, request_of(f"further-{number}"))
        except ConnectionError as error:
            record(f"client {number}: {type(error).__name__}")
        await asyncio.sleep(0.05)
        is_whole, received = await receive(sock)
        record(f"client {number} has {len(received)} bytes, whole: {is_whole}, status {received[9:12]}")
        sock.close()
        return attempt, is_whole, received

    tasks = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(0.5)
    begun_at = time.monotonic()
    if has_trouble:
        front.signal(signal.SIGTERM)

    async def watch():
        while front.process.poll() is None:
            await asyncio.sleep(0.02)
        record(f"the node has ended, {time.monotonic() - begun_at:.2f} s after the SIGTERM")
        print(f"the node ended {time.monotonic() - begun_at:.2f} s after the SIGTERM, of {GRACE_S} s")

    watching = asyncio.create_task(watch())
    results = await asyncio.gather(*tasks)
    watching.cancel()
    lost = [attempt for attempt, is_whole, received in results
            if not is_whole and attempt in finished]
    served = sum(1 for name in finished if name.startswith("proof"))
    print(f"requests that the endpoint has answered in full: {served} of {CLIENTS}")
    print(f"requests that were passed on and whose answer is not whole: {len(lost)}")
    return 1 if lost else 0


run_case(main)
