"""Stand-ins for the systems around the comparer: engine, store, membership service, routers, and the platform that
starts and stops it. They follow the users' protocol page. Everything listens on 127.0.0.1. Python's standard
library only.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


def now_ms():
    return time.time() * 1000.0


def free_port(kind=socket.SOCK_STREAM):
    """A port of 127.0.0.1 on which nothing listens, below the range that the system hands out by itself."""
    # Not from the seed of the run, so that runs beside each other do not draw the same ports.
    draw = random.SystemRandom()
    for _ in range(1000):
        port = draw.randrange(15000, 30000)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                continue
    raise OSError("no free port")


class Record:
    """The record of a run: what was sent, answered and run, one line for each event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.time()

    def line(self, text):
        self.file.write(f"{time.time() - self.start:8.3f} {text}\n")
        self.file.flush()


class NoRecord:
    def line(self, text):
        pass


# ---- the engine ----


class Run:
    def __init__(self, rid, klass, body, channel):
        self.rid, self.klass, self.body, self.channel = rid, klass, body, channel
        self.started_ms = now_ms()
        self.task = None
        self.reply = None
        self.need = None
        self.asked = []
        self.replies = []


class Link:
    """One connection of a comparer."""

    def __init__(self, writer):
        self.writer = writer
        self.ended = False

    def send(self, data):
        self.writer.write(data)

    def end(self, reset=False):
        self.ended = True
        if reset:
            self.writer.transport.abort()
        else:
            self.writer.close()


class EngineAddress:
    """One address of the engine: it numbers its own notices and tells only of runs begun through it."""

    # Commands are read in order, each so much late; what is not read when the link breaks is lost.
    read_late_ms = 0.0

    def __init__(self, engine, port):
        self.engine, self.port = engine, port
        self.notices = []
        self.link = None

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def send(self, data):
        if self.link is not None:
            self.link.send(data)

    def notice(self, make):
        data = make(len(self.notices) + 1)
        self.notices.append(data)
        self.send(data)

    async def serve(self, reader, writer):
        link = Link(writer)
        commands = asyncio.Queue()
        worker = asyncio.ensure_future(self.carry_out_commands(link, commands))
        try:
            while True:
                words = (await reader.readuntil(b"\r\n"))[:-2].decode("ascii").split(" ")
                body = b""
                if words[0] in ("RUN", "FEED"):
                    body = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                commands.put_nowait((time.time(), words, body))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            worker.cancel()
            if self.link is link:
                self.link = None
            link.end()

    async def carry_out_commands(self, link, commands):
        while True:
            came_s, words, body = await commands.get()
            wait_s = came_s + self.read_late_ms / 1000 - time.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if link.ended:
                return
            if not await self.carry_out(link, words, body):
                link.end()

    async def carry_out(self, link, words, body):
        engine = self.engine
        match words:
            case ["ATTACH", last]:
                await engine.up.wait()
                if self.link is not None:
                    self.link.end()
                self.link = link
                state = "chilly" if engine.cold else "hot"
                self.send(f"HELLO {state} {now_ms() - engine.started_ms:.0f}\r\n".encode())
                for data in self.notices[int(last):]:
                    self.send(data)
            case ["RUN", rid, klass, _]:
                engine.run(self, rid, klass, body)
            case ["HALT", rid]:
                engine.halt(rid)
            case ["FEED", rid, _]:
                engine.feed(self, rid, body)
            case ["SKIP", rid, notice]:
                engine.skip(rid, int(notice))
            case ["STAT", tag]:
                values = " ".join(f"{value:.3f}" for value in engine.gauges())
                self.send(f"STATS {tag} {values}\r\n".encode())
            case _:
                return False
        return True

    def break_link(self):
        """Resets the link; returns whether there was one. Runs continue."""
        link, self.link = self.link, None
        if link is not None:
            link.end(reset=True)
        return link is not None


class Engine:
    """The engine of one machine: all that runs shares its cores. A body such as `NAME ms=200 calls=1` says
    how much work the run is, in ms on one core, and how many calls it makes; its result names the run, the
    body and the replies to its calls. `is_over` tells of a request whose caller has its answer or has gone."""

    def __init__(self, record=None, cores=6, up=True, cold=False, is_over=lambda rid: False):
        self.record, self.cores, self.cold, self.is_over = record or NoRecord(), cores, cold, is_over
        self.started_ms = now_ms()
        self.up = asyncio.Event()
        if up:
            self.up.set()
        self.slower = 1.0
        self.runs = {}
        self.history = []
        self.ended = []
        self.addresses = []
        self.on_core = {}
        self.clock = asyncio.ensure_future(self.share_cores())

    async def listen(self):
        address = EngineAddress(self, free_port())
        await address.listen()
        self.addresses.append(address)
        return address

    async def share_cores(self):
        last = time.time()
        while True:
            await asyncio.sleep(0.002)
            elapsed_ms, last = (time.time() - last) * 1000, time.time()
            if self.on_core:
                done_ms = elapsed_ms * min(1.0, self.cores / len(self.on_core)) / self.slower
                for ready, left_ms in list(self.on_core.items()):
                    self.on_core[ready] = left_ms - done_ms
                    if left_ms <= done_ms:
                        del self.on_core[ready]
                        if not ready.done():
                            ready.set_result(None)

    async def compute(self, work_ms):
        ready = asyncio.get_running_loop().create_future()
        self.on_core[ready] = work_ms
        try:
            await ready
        finally:
            self.on_core.pop(ready, None)

    def gauges(self):
        running = len(self.on_core)
        return [min(1.0, running / self.cores), float(running), 0.1, 10.0]

    def run(self, address, rid, klass, body):
        if rid in self.runs:
            self.record.line(f"engine RUN {rid}: runs already")
            return
        if self.is_over(rid) or any(run.rid == rid for run in self.history):
            self.record.line(f"engine RUN {rid}: is over, not started")
            address.notice(lambda n: f"DONE {n} {rid} unknown 0 0\r\n\r\n".encode())
            return
        run = Run(rid, klass, body, address)
        self.runs[rid] = run
        self.history.append(run)
        self.record.line(f"engine port={address.port} run begins rid={rid} class={klass} body={body!r}")
        run.task = asyncio.ensure_future(self.work(run))

    async def work(self, run):
        words = dict(word.split("=") for word in run.body.decode("utf-8", "replace").split() if "=" in word)
        work_ms, calls = float(words.get("ms", 20)), int(words.get("calls", 0))
        try:
            for call in range(calls):
                await self.compute(work_ms / (calls + 1))
                if self.is_over(run.rid):
                    return self.end(run, "cancelled", b"")
                body = f"call {call} of {run.rid}".encode()
                run.reply = asyncio.get_running_loop().create_future()
                run.need = len(run.channel.notices) + 1
                run.asked.append(body)
                self.record.line(f"engine rid={run.rid} needs {body!r}")
                run.channel.notice(
                    lambda n: f"NEED {n} {run.rid} {len(body)}\r\n".encode() + body + b"\r\n"
                )
                run.replies.append(await run.reply)
                run.need = None
            await self.compute(work_ms / (calls + 1))
            self.end(run, "complete", self.result_of(run))
        except asyncio.CancelledError:
            self.end(run, "cancelled", b"")

    @staticmethod
    def result_of(run):
        return b"result of " + run.body + b" by " + run.rid.encode() + b" with " + b"|".join(run.replies)

    def end(self, run, how, result):
        if self.runs.pop(run.rid, None) is None:
            return
        self.ended.append((run.rid, how, result))
        took_ms = now_ms() - run.started_ms
        self.record.line(f"engine run ends rid={run.rid} {how} after {took_ms:.0f} ms")
        run.channel.notice(
            lambda n: f"DONE {n} {run.rid} {how} {took_ms:.0f} {len(result)}\r\n".encode() + result + b"\r\n"
        )

    def halt(self, rid):
        if rid in self.runs:
            self.runs[rid].task.cancel()

    def feed(self, address, rid, body):
        """The reply to the call that the run waits for; a run that waits for none takes none."""
        run = self.runs.get(rid)
        if run is None or run.need is None or run.reply.done():
            self.record.line(f"engine FEED {rid} {body!r}: waits for no call")
            address.send(f"NO FEED {rid}\r\n".encode())
            return
        self.record.line(f"engine FEED {rid} {body!r}: taken for {run.asked[-1]!r}")
        run.reply.set_result(body)

    def skip(self, rid, notice):
        run = self.runs.get(rid)
        if run is not None and run.need == notice and not run.reply.done():
            run.reply.set_result(b"skipped")


# ---- the store ----


class Store:
    def __init__(self, delay_ms=5):
        self.delay_ms = delay_ms
        self.calls = 0
        self.port = free_port()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                words = (await reader.readuntil(b"\r\n"))[:-2].decode("ascii").split(" ")
                if words[0] == "CALL":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    self.calls += 1
                    asyncio.ensure_future(self.reply(writer, words[1], body))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def reply(self, writer, rid, body):
        await asyncio.sleep(self.delay_ms / 1000)
        reply = b"reply to " + body
        with contextlib.suppress(ConnectionError):
            writer.write(f"{rid} OK {len(reply)}\r\n".encode() + reply + b"\r\n")


# ---- the membership service ----


class Members(asyncio.DatagramProtocol):
    def __init__(self):
        self.reports = []
        self.port = free_port(socket.SOCK_DGRAM)

    async def listen(self):
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(HOST, self.port))

    def datagram_received(self, data, addr):
        self.reports.append((now_ms(), data.decode("ascii", "replace")))


# ---- MessagePack, as far as the protocol needs it ----


def pack(value):
    if value is None:
        return b"\xc0"
    if value is True:
        return b"\xc3"
    if value is False:
        return b"\xc2"
    if isinstance(value, int):
        if value < 128:
            return bytes([value])
        return b"\xce" + struct.pack(">I", value) if value < 2**32 else b"\xcf" + struct.pack(">Q", value)
    if isinstance(value, str):
        data = value.encode()
        return (bytes([0xA0 | len(data)]) if len(data) < 32 else b"\xd9" + bytes([len(data)])) + data
    if isinstance(value, bytes):
        return b"\xc5" + struct.pack(">H", len(value)) + value
    if isinstance(value, list):
        return bytes([0x90 | len(value)]) + b"".join(map(pack, value))
    if isinstance(value, dict):
        pairs = b"".join(pack(key) + pack(item) for key, item in value.items())
        return (bytes([0x80 | len(value)]) if len(value) < 16 else b"\xde" + struct.pack(">H", len(value))) + pairs
    raise TypeError(type(value))


async def unpack(reader):
    tag = (await reader.readexactly(1))[0]

    async def number(fmt):
        return struct.unpack(fmt, await reader.readexactly(struct.calcsize(fmt)))[0]

    async def items(count):
        return [await unpack(reader) for _ in range(count)]

    async def pairs(count):
        return {await unpack(reader): await unpack(reader) for _ in range(count)}

    if tag < 0x80:
        return tag
    if tag < 0x90:
        return await pairs(tag & 0x0F)
    if tag < 0xA0:
        return await items(tag & 0x0F)
    if tag < 0xC0:
        return (await reader.readexactly(tag & 0x1F)).decode()
    if tag >= 0xE0:
        return tag - 256
    match tag:
        case 0xC0:
            return None
        case 0xC2:
            return False
        case 0xC3:
            return True
        case 0xC4:
            return await reader.readexactly(await number(">B"))
        case 0xC5:
            return await reader.readexactly(await number(">H"))
        case 0xC6:
            return await reader.readexactly(await number(">I"))
        case 0xCA:
            return await number(">f")
        case 0xCB:
            return await number(">d")
        case 0xCC:
            return await number(">B")
        case 0xCD:
            return await number(">H")
        case 0xCE:
            return await number(">I")
        case 0xCF:
            return await number(">Q")
        case 0xD9:
            return (await reader.readexactly(await number(">B"))).decode()
        case 0xDA:
            return (await reader.readexactly(await number(">H"))).decode()
        case 0xDC:
            return await items(await number(">H"))
        case 0xDE:
            return await pairs(await number(">H"))
    raise ValueError(f"tag {tag:#x}")


# ---- the router ----


def new_rid():
    return f"{random.getrandbits(64):016x}"


class Answer:
    """How a request ended: `served`, `refused`, `failed`, or `none` if the connection ended before."""

    def __init__(self, kind, body=b"", detail=""):
        self.kind, self.body, self.detail, self.at = kind, body, detail, now_ms()

    def __repr__(self):
        return f"{self.kind} {self.body!r} {self.detail}".strip()


class Router:
    """One connection of a router."""

    def __init__(self, port, peer=1):
        self.port, self.peer = port, peer
        self.open = {}
        self.last_id = 0
        self.told_to_go = False
        self.closed = asyncio.Event()

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self.reading = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                message = await unpack(self.reader)
                if message[0] == 2:
                    self.told_to_go = self.told_to_go or message[1] == "goaway"
                    if self.told_to_go and not self.open:
                        break
                    continue
                _, number, error, result = message
                waiting = self.open.pop(number, None)
                if waiting is None:
                    continue
                if error is None:
                    answer = Answer("served", result[0] if isinstance(result[0], bytes) else b"", result[0])
                elif error[0] == "Busy":
                    answer = Answer("refused", b"", error)
                else:
                    answer = Answer("failed", b"", error)
                waiting.set_result(answer)
                if self.told_to_go and not self.open:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            for waiting in self.open.values():
                if not waiting.done():
                    waiting.set_result(Answer("none"))
            self.open.clear()
            self.writer.close()

    def send(self, klass, body, token=None, again=False, rid=None, t0=None, est=None, mem=20.0, **more):
        """Writes a request; returns its id and the future of its answer."""
        rid = rid or new_rid()
        fields = {
            "rid": rid,
            "t0": str(int(t0 if t0 is not None else now_ms())),
            "peer": str(self.peer),
            "mem": f"{mem:.1f}",
            "prio": "0.5000",
        }
        if est is not None:
            fields["est"] = f"{est:.2f}"
        if token:
            fields["token"] = token
        if again:
            fields["again"] = "1"
        fields.update(more)
        self.last_id += 1
        waiting = asyncio.get_running_loop().create_future()
        self.open[self.last_id] = waiting
        self.writer.write(pack([0, self.last_id, klass, [fields, body]]))
        return rid, waiting

    def abort(self, number):
        self.open.pop(number, None)
        self.writer.write(pack([2, "abort", [number]]))

    async def ping(self):
        self.last_id += 1
        waiting = asyncio.get_running_loop().create_future()
        self.open[self.last_id] = waiting
        self.writer.write(pack([0, self.last_id, "ping", [{}]]))
        return await waiting

    def close(self):
        self.writer.close()


class Routers:
    """A few routers with a connection each, opened when it is needed and again after it has ended."""

    def __init__(self, port, count):
        self.port = port
        self.connections = [None] * count

    async def connection(self):
        """A connection that takes a request, of any router."""
        while True:
            number = random.randrange(len(self.connections))
            connection = self.connections[number]
            if connection is None or connection.closed.is_set() or connection.told_to_go:
                connection = await Router(self.port, number + 1).connect()
                self.connections[number] = connection
            if len(connection.open) < 32:
                return connection
            await asyncio.sleep(0.001)

    def close(self):
        for connection in self.connections:
            if connection is not None:
                connection.close()


# ---- the comparer ----


def run_command():
    """The command with which the deploy file starts the comparer."""
    text = (ROOT / "deploy/balancer.toml").read_text()
    return re.search(r'^run = "(.*)"', text, re.MULTILINE).group(1)


SETTINGS = {
    "services": [
        {"name": "report-view", "effect": "read_like", "keyTtlMs": 5000, "promiseMs": 2800, "deadlineMs": 9400,
         "worth": 1, "lateWorth": 0},
        {"name": "quick-match", "effect": "read_like", "keyTtlMs": 5000, "promiseMs": 1500, "deadlineMs": 3800,
         "worth": 1, "lateWorth": 0.2},
        {"name": "thesis-submit", "effect": "idempotency_key", "keyTtlMs": 22599, "promiseMs": 2300,
         "deadlineMs": 7500, "worth": 3, "lateWorth": 0},
    ],
    "contract": {"answerSlackMs": 100, "coldMs": 17000, "drainGraceMs": 2500, "fallMultiple": 8,
                 "startCapacity": 0.29, "tipAfterMs": 3000},
    "ceilings": {"retryAfter": True, "maxRetryAfterMs": 1000},
    "clients": {"marksRetry": True},
    "servers": 10,
    "tickMs": 5,
    "worthBy": "work",
    "specifics": {
        "below": "shared", "callerIdleMs": 15000, "callsOut": 6.5, "callsOverMs": 5000, "cancelSeen": True,
        "classCalls": [True, False, True], "clientsTotal": 3, "cold": False, "cores": 6, "freshForMs": 0,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "heapKb": 30042, "keyKb": 58.98,
        "lingerMs": 200, "passesDeadline": False, "preemption": "drop", "realChecks": False,
        "registryFollows": True, "runFactor": 4, "saidForMs": 1000, "signal": "weight",
        "worthWithout": [0.3, 0, 0],
    },
}


class Comparer:
    """One process of the comparer, started as the deploy file says."""

    started = []

    def __init__(self, folder, listen, engine, store, members, tmpdir, label="n1", name="n1", management=True,
                 edge=None, settings=SETTINGS, stop_ms=3200, seed=None, sockets=256, memory_mb=64):
        self.folder, self.listen, self.label, self.tmpdir, self.edge = Path(folder), listen, label, tmpdir, edge
        self.management = free_port() if management else None
        self.config = {
            "name": name, "listen": f"{HOST}:{listen}", "engine": f"{HOST}:{engine}",
            "members": f"{HOST}:{members}", "store": f"{HOST}:{store}",
            "seed": seed or f"{random.getrandbits(64):016x}", "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "settings": settings,
        }
        self.config_path = self.folder / f"{label}.json"
        self.log_path = self.folder / f"{label}.log"
        self.process = None

    def write_config(self):
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.rename(self.config_path)

    async def start(self):
        self.write_config()
        command = run_command()
        if self.edge:
            command += f" serve --edge {self.edge}"
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        environment.update(
            RELAY_NAME=self.config["name"], RELAY_LISTEN=self.config["listen"],
            RELAY_CONFIG=str(self.config_path), TMPDIR=str(self.tmpdir),
        )
        if self.management:
            environment["RELAY_MANAGEMENT"] = f"{HOST}:{self.management}"
        with open(self.log_path, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log,
            )
        Comparer.started.append(self)
        return self

    async def ask(self, call):
        reader, writer = await asyncio.open_connection(HOST, self.management)
        try:
            writer.write(call.encode() + b"\n")
            return (await asyncio.wait_for(reader.read(), 1.0)).decode()
        finally:
            writer.close()

    async def ready(self, timeout_s=6.0):
        """Waits until PING says yes; returns whether it did in time."""
        until = time.time() + timeout_s
        while time.time() < until:
            if self.process.returncode is not None:
                return False
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                if (await self.ask("PING")).startswith("+OK"):
                    return True
            await asyncio.sleep(0.02)
        return False

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def term(self):
        self.signal(signal.SIGTERM)

    async def ended(self, timeout_s):
        """Waits for the end; returns the exit status, or None if the process still runs."""
        try:
            return await asyncio.wait_for(self.process.wait(), timeout_s)
        except asyncio.TimeoutError:
            return None

    async def term_then_kill(self, after_s):
        """SIGTERM, then SIGKILL as the platform does it; returns the exit status."""
        self.term()
        status = await self.ended(after_s)
        if status is None:
            self.process.kill()
            status = await self.process.wait()
        return status

    def log(self):
        return self.log_path.read_text(errors="replace")


async def end_all():
    """Ends every process that this script started."""
    for comparer in Comparer.started:
        if comparer.process is not None and comparer.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                comparer.process.send_signal(signal.SIGCONT)
                comparer.process.kill()
            await comparer.process.wait()
