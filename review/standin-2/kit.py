"""Stand-ins for the platform's store, back ends and clients, and the processes under test.

Everything listens on 127.0.0.1 and speaks what PROTOCOL.md says. Standard library only.
"""

import asyncio
import ctypes
import json
import os
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "cuminarch-sidecar")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.yaml")
HOST = "shop.example"


MAX_FDS = 4100


def prepare_process():
    """Gives a started process the descriptors of `maxFds`, and an end together with this one."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))


class CannotRun(Exception):
    """The case could not be set up."""


def free_port():
    """Returns a port that was free for TCP and UDP a moment ago."""
    while True:
        with socket.socket() as tcp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind(("127.0.0.1", port))
                except OSError:
                    continue
        if port not in free_port.taken:
            free_port.taken.add(port)
            return port


free_port.taken = set()


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def note(self, text):
        line = f"{time.monotonic() - self.started_at:8.3f} s  {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads the head of a message. Returns the first line and the fields in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(status, fields, body=b""):
    head = f"HTTP/1.1 {status}\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return head.encode() + b"\r\n" + body


class Store:
    """The platform's store: objects by kind and name, one revision, watches."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.objects = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.mode = "sound"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def put(self, kind, name, spec):
        self.revision += 1
        held = self.objects.get((kind, name))
        created = held["metadata"]["createdRev"] if held else self.revision
        obj = {
            "metadata": {"name": name, "revision": self.revision, "createdRev": created,
                         "finalizers": [], "deleteRequested": False},
            "spec": spec, "status": held["status"] if held else None,
        }
        self.objects[(kind, name)] = obj
        self.events.append((self.revision, kind, obj, False))
        self.changed.set()
        self.changed = asyncio.Event()
        return obj

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                if self.mode == "silent":
                    # Nothing that is sent to a silent store is executed, then or later.
                    while self.mode == "silent":
                        await asyncio.sleep(0.05)
                    break
                status, value = await self.answer(line, body)
                text = json.dumps(value).encode()
                writer.write(message(status, {"Content-Type": "application/json",
                                              "Store-Era": 1, "Content-Length": len(text)}, text))
                await writer.drain()
                if fields.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = [part for part in path.split("/") if part][1:]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")))
        if method == "GET" and name is None:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return "200 OK", {"items": items, "hasMore": False, "atRev": self.revision}
        sent = json.loads(body) if body else {}
        expected = (sent.get("metadata") or {}).get("revision", query.get("revision"))
        name = name or sent["metadata"]["name"]
        held = self.objects.get((kind, name))
        if method == "GET":
            return ("200 OK", held) if held else ("404 Not Found", {})
        if method == "POST":
            return ("409 Conflict", held) if held else ("201 Created",
                                                        self.put(kind, name, sent["spec"]))
        if held is None:
            return "404 Not Found", {}
        if expected is not None and int(expected) != held["metadata"]["revision"]:
            return "409 Conflict", held
        if method == "PUT" and len(parts) == 2:
            same = held["spec"] == sent["spec"]
            return "200 OK", held if same else self.put(kind, name, sent["spec"])
        if method == "DELETE":
            self.revision += 1
            del self.objects[(kind, name)]
            self.events.append((self.revision, kind, held, True))
            return "200 OK", held
        return "400 Bad Request", {}

    async def watch(self, kind, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            found = [{"object": o, "deleted": d} for r, k, o, d in self.events
                     if k == kind and r > after]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return "200 OK", {"events": found, "atRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
            except asyncio.TimeoutError:
                pass


class Run:
    """A request that reached a back end."""

    def __init__(self, attempt, method, target, fields, body, connection):
        self.attempt, self.method, self.target = attempt, method, target
        self.at = time.monotonic()
        self.fields, self.body, self.connection = fields, body, connection
        self.ended = None


class BackEnd:
    """An application endpoint beside a node."""

    def __init__(self, record, service, instance, slots=100):
        self.record, self.service, self.instance, self.slots = record, service, instance, slots
        self.port = free_port()
        self.runs = []
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.node = None
        self.reporting = None
        self.connections = set()
        self.behave = self.default

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def crash(self):
        """Ends like a process: no listener, and all connections are gone."""
        self.record.note(f"{self.instance} ends")
        if self.reporting:
            self.reporting.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        current = None
        self.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                if target == "/health":
                    writer.write(message("200 OK", {"X-Instance-Id": self.instance,
                                                    "Content-Length": 0}))
                    continue
                attempt = fields.get("x-attempt-id", "")
                expected = fields.get("x-target-instance")
                if expected not in (None, self.instance):
                    writer.write(message("421 Misdirected Request", {
                        "X-Attempt-Id": attempt, "X-Not-Executed": 1,
                        "X-Instance-Id": self.instance, "Content-Length": 0}))
                    self.record.note(f"{self.instance} answers 421 to {attempt}")
                    continue
                current = Run(attempt, method, target, fields, body, writer)
                self.runs.append(current)
                self.record.note(f"{self.instance} runs {attempt} {method} {target}")
                work = asyncio.ensure_future(self.behave(current, writer))
                gone = asyncio.ensure_future(self.closed(reader, work))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    current.ended = "the connection was closed during the run"
                    self.record.note(f"{self.instance} drops {attempt}: {current.ended}")
                    break
                gone.cancel()
                if work.result() == "close":
                    break
                current.ended = current.ended or "answered"
                self.record.note(f"{self.instance} has answered {attempt}")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    @staticmethod
    async def closed(reader, work):
        """Returns once the peer has closed the connection; keeps bytes that arrive earlier."""
        while not work.done():
            if reader.at_eof() or reader.exception():
                return
            await asyncio.sleep(0.005)

    def stamp(self, run):
        return f"{self.instance}.{run.attempt}"

    def fields(self, run, body):
        return {"X-Attempt-Id": run.attempt, "X-Server-Stamp": self.stamp(run),
                "Content-Length": len(body)}

    async def default(self, run, writer):
        """Works for as long as the path asks: /PREFIX/MILLISECONDS."""
        digits = re.findall(r"\d+", run.target.rsplit("/", 1)[-1])
        await asyncio.sleep(int(digits[0]) / 1000 if digits else 0.01)
        body = f"{run.attempt} by {self.instance}".encode()
        writer.write(message("200 OK", self.fields(run, body), body))
        await writer.drain()
        return None

    def check_in_body(self):
        self.sequence += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z-a",
                "version": "v1", "slots": self.slots, "state": self.state, "warm_up_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def report(self, call="heartbeat", body=None):
        body = json.dumps(self.check_in_body() if body is None else body)
        return await http_call(self.node.control, "POST",
                               f"/instances/{self.instance}/{call}", body)

    async def keep_reporting(self, interval_s=1.5):
        while True:
            try:
                await asyncio.wait_for(self.report(), 1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(interval_s)


async def http_call(port, method, target, body="", fields=None):
    """One call on a connection of its own. Returns the status and the body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        lines = {"Host": "node", "Content-Type": "application/json",
                 "Content-Length": len(body), "Connection": "close", **(fields or {})}
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
        writer.write(head.encode() + b"\r\n" + body.encode())
        await writer.drain()
        line, answered = await read_head(reader)
        return int(line.split(" ")[1]), await read_body(reader, answered)
    finally:
        writer.close()


class Node:
    """The process under test beside one back end."""

    def __init__(self, record, folder, name, back_end, store, zone="z-a", zones=("z-a",)):
        self.record, self.name, self.back_end, self.store = record, name, back_end, store
        self.zone, self.zones = zone, zones
        self.inbound, self.outbound = free_port(), free_port()
        self.ready, self.control = free_port(), free_port()
        self.peers, self.admin = free_port(), free_port()
        self.settings = os.path.join(folder, f"{name}.yaml")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None
        back_end.node = self

    def render(self):
        """Fills in the project's template as DEPLOY.md says, for the fields that it uses."""
        values = {
            "node": self.name, "service": self.back_end.service, "zone": self.zone,
            "region": "r-1", "listen.outbound": f"127.0.0.1:{self.outbound}",
            "listen.inbound": f"127.0.0.1:{self.inbound}",
            "listen.control": f"127.0.0.1:{self.control}",
            "listen.ready": f"127.0.0.1:{self.ready}", "ip": "127.0.0.1",
            "internalPorts.0": self.peers, "internalPorts.1": self.admin,
            "appAddr": f"127.0.0.1:{self.back_end.port}",
            "provider.address": f"127.0.0.1:{self.store.port}",
            "bounds.graceS": 6, "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 50,
            "bounds.retryWindowS": 10, "bounds.configApplyS": 2000,
        }
        with open(TEMPLATE, encoding="utf-8") as template:
            text = template.read()
        zones = ",".join(json.dumps(zone) for zone in self.zones)
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", lambda _: zones, text, flags=re.S)
        text = re.sub(r"\{\{#(bounds\.\w+)\}\}(.*?)\{\{/\1\}\}",
                      lambda found: found[2].replace("{{.}}", str(values[found[1]])), text,
                      flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda found: json.dumps(values[found[1]]), text)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(values[found[1]]), text)
        with open(self.settings, "w", encoding="utf-8") as settings:
            settings.write(text)

    async def start(self):
        self.render()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CUMINARCH_BOOT"] = self.settings
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log,
            preexec_fn=prepare_process)
        log.close()
        self.record.note(f"{self.name} starts")

    def signal(self, number):
        self.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            return (await asyncio.wait_for(http_call(self.ready, "GET", "/ready"), 1))[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


def route(name, prefix, kind, service, deadline_ms=5000, objective_ms=1000, priority=1,
          max_endpoints=2):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind,
            "deadline_ms": deadline_ms, "objective_ms": objective_ms, "priority": priority,
            "service": service, "max_endpoints": max_endpoints}


def manifest(version, routes):
    services = sorted({r["service"] for r in routes if "service" in r})
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConnections": 1000,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_head_bytes": 16384, "max_body_bytes": 67108864,
                       "head_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Fleet:
    """A small deployment: a store, back ends and a node beside each."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="cuminarch-case-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = Store(self.record)
        self.nodes, self.back_ends = [], []

    def add(self, service, **options):
        number = len(self.nodes) + 1
        back_end = BackEnd(self.record, service, f"i-{service}-{number}", **options)
        node = Node(self.record, self.folder, f"sidecar-{number}", back_end, self.store)
        self.back_ends.append(back_end)
        self.nodes.append(node)
        return node

    async def start(self, routes, version=7):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{os.path.relpath(PROGRAM, ROOT)} is missing: build it first")
        await self.store.start()
        self.store.put("config", "main", manifest(version, routes))
        for back_end in self.back_ends:
            await back_end.start()
        for node in self.nodes:
            await node.start()
        for back_end in self.back_ends:
            back_end.reporting = asyncio.ensure_future(back_end.keep_reporting())
        for _ in range(100):
            if all([await node.is_ready() for node in self.nodes]):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the nodes did not become ready")
        self.record.note("all nodes are ready")
        await asyncio.sleep(4)

    async def end(self):
        for node in self.nodes:
            await node.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def request(method, target, attempt, deadline_ms=5000, body=b"", fields=None):
    lines = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": deadline_ms, **(fields or {})}
    if body or method == "POST":
        lines["Content-Length"] = len(body)
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
    return head.encode() + b"\r\n" + body


async def ask(node, head):
    """Sends a request on a connection of its own. Returns the status, or why there is none."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.outbound)
        try:
            writer.write(head)
            line, fields = await read_head(reader)
            await read_body(reader, fields)
            return line.split(" ", 1)[1]
        finally:
            writer.close()
    except (asyncio.IncompleteReadError, OSError) as error:
        return f"no whole answer ({type(error).__name__})"


def main(folder, run):
    """Runs a case: `run(fleet, trouble)` returns a list of broken rules.

    Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        fleet = Fleet(folder)
        try:
            broken = await asyncio.wait_for(run(fleet, trouble), 100)
            for line in broken:
                fleet.record.note(f"BROKEN: {line}")
            fleet.record.note("the rule was broken" if broken else "the rule held")
            print("broken" if broken else "held", *broken[:3], sep="\n  ")
            return 1 if broken else 0
        except Exception as error:  # whatever it was, nothing was shown
            fleet.record.note(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            await fleet.end()

    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(whole())
    sys.stdout.flush()
    os._exit(code)
