"""Stand-ins of the platform, its endpoints and its clients, for scripts of the review.

Everything runs on loopback addresses in one event loop; the sidecars are separate processes, started
with the command of the deploy file and settings made from its template.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def free_ports(ip, count):
    """Returns ports below the ephemeral range that are free on an address, for TCP and UDP."""
    found, port = [], 20000 + os.getpid() % 5000
    while len(found) < count:
        port += 1
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
            found.append(port)
        except OSError:
            pass
    return found


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


# HTTP/1.1 messages


class Message:
    """Head of a request or an answer."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; returns None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0], fields)


async def read_body(reader, head, until_close=False):
    """Reads a whole body; raises an error if it is cut short."""
    if head.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    length = head.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if until_close:
        return await reader.read()
    return b""


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


def answer(status, body=b"", fields=(), reason="X"):
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# The platform's store


class Store:
    """Objects with revisions, conditional changes and watches (PROTOCOL.md, the metadata store).

    `fault` is called for each request with the port's label, the method and the path. It returns None
    for a sound answer, or "silent", "busy" or "reset".
    """

    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.era = 1
        self.events = []
        self.changed = asyncio.Condition()
        self.fault = lambda label, method, path: None
        self.calls = 0

    async def serve(self, ip, port, label=""):
        async def handle(reader, writer):
            try:
                await self._serve_connection(reader, writer, label)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        return await asyncio.start_server(handle, ip, port, backlog=256)

    async def _serve_connection(self, reader, writer, label):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head.first.split(" ", 2)
            body = await read_body(reader, head)
            self.calls += 1
            fault = self.fault(label, method, target)
            if fault == "silent":
                await asyncio.sleep(60)
                return
            if fault == "reset":
                return reset(writer)
            if fault == "busy":
                status, value = 503, {}
            else:
                status, value = await self._call(method, target, body)
            fields = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
            writer.write(answer(status, json.dumps(value).encode(), fields))
            await writer.drain()
            if head.get("connection", "").lower() == "close":
                return

    async def _call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        content = json.loads(body) if body and body != b"null" else {}
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        if method == "GET":
            names = sorted(found for found in objects if found > query.get("after", ""))
            page = [objects[found] for found in names[:500]]
            return 200, {"items": page, "hasMore": len(names) > 500, "atRev": self.revision}
        metadata = content.get("metadata", {})
        expected = metadata.get("revision", query.get("revision"))
        name = name or metadata.get("name")
        held = objects.get(name)
        if method == "POST":
            if held is not None:
                return 409, held
            return 200, await self.write(kind, name, content.get("spec"))
        if held is None:
            return 404, {}
        if expected is not None and int(expected) != held["metadata"]["revision"]:
            return 409, held
        if method == "DELETE":
            del objects[name]
            await self._note(kind, held, True)
            return 200, held
        if method == "PUT":
            return 200, await self.write(kind, name, content.get("spec"))
        return 404, {}

    async def write(self, kind, name, spec):
        """Creates or replaces an object, also for the operator."""
        objects = self.objects.setdefault(kind, {})
        held = objects.get(name)
        if held is not None and held["spec"] == spec:
            return held
        created = held["metadata"]["createdRev"] if held else self.revision + 1
        new = {
            "metadata": {"name": name, "revision": self.revision + 1, "createdRev": created,
                         "finalizers": [], "deleteRequested": False},
            "spec": spec,
            "status": None,
        }
        objects[name] = new
        await self._note(kind, new, False)
        return new

    async def _note(self, kind, changed, deleted):
        self.revision += 1
        self.events.append((self.revision, kind, {"object": changed, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()

    async def _watch(self, kind, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            found = [event for rev, of, event in self.events if of == kind and rev > after]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "atRev": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# Endpoints


class Endpoint:
    """An application endpoint beside a sidecar. `run` is called for each request that it runs, and
    returns the status, the fields and the body of the answer, or writes the answer itself and returns
    None (after which the connection ends) or True (after which it goes on)."""

    def __init__(self, record, service, instance, ip, port, control, zone, slots=40):
        self.record, self.service, self.instance = record, service, instance
        self.ip, self.port, self.control, self.zone, self.slots = ip, port, control, zone, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.run = None
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, backlog=512)
        self.beats = asyncio.create_task(self._beat_forever())

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.5)

    async def beat(self, call="heartbeat"):
        self.sequence += 1
        content = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                   "version": "v1", "slots": self.slots, "state": self.state, "warm_up_ms": 0,
                   "sequence": self.sequence, "born": self.born}
        body = json.dumps(content).encode()
        head = (f"POST /instances/{self.instance}/{call} HTTP/1.1\r\nHost: {self.control[0]}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.control)
                writer.write(head.encode() + body)
                found = await read_head(reader)
                writer.close()
                return found is not None and found.first.split()[1].startswith("2")
        except (OSError, TimeoutError):
            return False

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                if not await self._answer(head, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, head, reader, writer):
        method, target, _ = head.first.split(" ", 2)
        attempt = head.get("x-attempt-id")
        if head.get("x-target-instance", self.instance) != self.instance:
            await read_body(reader, head)
            writer.write(answer(421, b"", [("X-Attempt-Id", attempt), ("X-Instance-Id", self.instance)]))
            await writer.drain()
            return True
        if target == "/health":
            writer.write(answer(200, b"", [("X-Instance-Id", self.instance)]))
            await writer.drain()
            return True
        self.runs.append(attempt)
        self.record(f"endpoint {self.instance} runs {attempt}: {method} {target}")
        result = await self.run(self, head, reader, writer)
        if result is None or result is True:
            return result
        status, fields, body = result
        fields = [("X-Attempt-Id", attempt), ("X-Server-Stamp", f"{self.instance}.{attempt}"), *fields]
        writer.write(answer(status, body, fields))
        await writer.drain()
        return True


# Sidecars


def render(template, fields):
    """Fills in a settings template (DEPLOY.md, the deploy file)."""
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def look_up(name, scope):
        if name == ".":
            return scope.get(".")
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def expand(text, scope):
        def replace_section(match):
            kind, name, inner = match.groups()
            value = look_up(name, scope)
            if kind == "^":
                return "" if value else expand(inner, scope)
            if not value and value != 0:
                return ""
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            else:
                entries = [(None, value)]
            parts = []
            for place, (key, entry) in enumerate(entries):
                inside = dict(scope)
                inside["."], inside["@"] = entry, key
                comma = "," if place + 1 < len(entries) else ""
                parts.append(expand(inner.replace("{{,}}", comma), inside))
            return "".join(parts)

        text = section.sub(replace_section, text)

        def replace_value(match):
            name, _, form = match.group(1).partition("|")
            value = scope.get("@") if name == "@" else look_up(name, scope)
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([^}]+)\}\}", replace_value, text)

    return expand(template, fields)


class Sidecar:
    """A sidecar process of one machine."""

    def __init__(self, record, folder, name, ip, ports, service, zone, zones, store, grace=6):
        self.record, self.name, self.ip, self.process = record, name, ip, None
        app, inbound, outbound, ready, control, internal = ports[:6]
        self.outbound, self.ready = (ip, outbound), (ip, ready)
        self.control, self.app = (ip, control), (ip, app)
        self.inbound, self.internal = (ip, inbound), (ip, internal)
        fields = {
            "node": name, "service": service, "zone": zone, "region": "region-1", "ip": ip,
            "zones": {known: "region-1" for known in zones},
            "listen": {"inbound": f"{ip}:{inbound}", "outbound": f"{ip}:{outbound}",
                       "ready": f"{ip}:{ready}", "control": f"{ip}:{control}"},
            "internalPorts": [internal, ports[6]],
            "appAddr": f"{ip}:{app}", "provider": {"address": store},
            "bounds": {"graceS": grace, "retryBudgetRatio": 0.2, "budgetSlack": 50,
                       "retryWindowS": 10, "configApplyS": 2000},
        }
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        self.settings = os.path.join(folder, f"{name}.yaml")
        self.log = os.path.join(folder, f"{name}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.command = role["run"].split(" ")

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["CUMINARCH_BOOT"] = self.settings
        log = open(self.log, "ab")
        self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record(f"{self.name} started")

    def signal(self, number):
        self.record(f"{self.name} gets signal {int(number)}")
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and head.first.split()[1] == "200"
        except (OSError, TimeoutError):
            return False


def manifest(version, routes, tenants=None, limits=None):
    """Returns the operator's manifest. A route is (host, prefix, kind, service, timeout in ms)."""
    entries = []
    for index, (host, prefix, kind, service, timeout_ms) in enumerate(routes):
        entries.append({"name": f"r-{index}", "host": host, "prefix": prefix, "kind": kind,
                        "deadline_ms": timeout_ms, "objective_ms": max(1, timeout_ms // 4),
                        "priority": 1, "service": service, "max_endpoints": 2})
    services = sorted({route[3] for route in routes})
    content = {
        "version": version,
        "routes": entries,
        "services": [{"name": name, "healthPath": "/health", "maxConnections": 1000,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": limits or {"max_head_bytes": 16384, "max_body_bytes": 67108864,
                             "head_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }
    if tenants is not None:
        content["tenants"] = tenants
    return content


class Deployment:
    """A store and machines, each with a sidecar and an endpoint."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="cuminarch-review-")
        self.store = Store()
        self.machines = []
        self.ports = free_ports("127.0.0.1", 8)
        self.base = 1 + os.getpid() % 200
        self.servers = []

    def ip(self, index):
        return f"127.77.{self.base}.{index + 1}"

    async def add(self, service, zone, zones, run, slots=40, grace=6):
        """Adds a machine with its own address of the store, and starts it."""
        index = len(self.machines)
        ip = self.ip(index)
        store_ip = f"127.78.{self.base}.{index + 1}"
        self.servers.append(await self.store.serve(store_ip, self.ports[7], f"node-{index}"))
        sidecar = Sidecar(self.record, self.folder, f"node-{index}", ip, self.ports, service, zone,
                          zones, f"{store_ip}:{self.ports[7]}", grace)
        endpoint = Endpoint(self.record, service, f"i-{index}", ip, self.ports[0], sidecar.control,
                            zone, slots)
        endpoint.run = run
        self.machines.append((sidecar, endpoint))
        await endpoint.start()
        sidecar.start()
        return sidecar, endpoint

    async def wait_ready(self, seconds=10):
        until = time.monotonic() + seconds
        for sidecar, _ in self.machines:
            while not await sidecar.is_ready():
                if time.monotonic() > until:
                    raise TimeoutError(f"{sidecar.name} is not ready")
                await asyncio.sleep(0.05)

    def end(self):
        for sidecar, _ in self.machines:
            sidecar.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main):
    """Runs a case and exits with its status: 1 if the rule was broken, 0 if it held, 2 if it could not
    run."""
    asyncio.run(_run_and_exit(main))


async def _run_and_exit(main):
    """Exits at once, as connections of stand-ins may be open."""
    path = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt")
    record = Record(path)
    deployment = Deployment(record)
    task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(110):
            status = await main(deployment, record, os.environ.get("TROUBLE", "1") != "0")
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        status = 2
    finally:
        deployment.end()
    sys.stdout.flush()
    os._exit(status)


async def request(address, host, target, attempt, method="GET", body=b"", deadline_ms=5000, fields=()):
    """Sends one request on a new connection. Returns the status (or None), the fields and the body."""
    head = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {deadline_ms}"]
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    head += [f"{name}: {value}" for name, value in fields]
    try:
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        found = await read_head(reader)
        if found is None:
            return None, {}, b""
        content = await read_body(reader, found, until_close=True)
        writer.close()
        return int(found.first.split()[1]), found.fields, content
    except (OSError, asyncio.IncompleteReadError):
        return None, {}, b""
