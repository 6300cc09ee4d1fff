"""Stand-ins for the platform of rockdeal: state service, cloud, workers, users, network.

They follow the platform's protocol page and use only Python's standard library. The controllers
are the project's own program, started as separate processes with the command of the deploy file.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STARTED = time.monotonic()
# A loopback address of this process's own, so that its ports collide with no other's.
HOST = f"127.{1 + os.getpid() // 62500 % 200}.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"


def now():
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def __call__(self, kind, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():8.3f} {kind} {text}\n")


# ---------------------------------------------------------------- HTTP


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP message; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if not header:
            return None
        header = header.decode("latin1").strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            body += chunk
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin1").strip(), headers, body


class HttpServer:
    """Serves `handler(method, path, query, body) -> (status, object)`."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, HOST, port, limit=1 << 20, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                path, _, raw = target.partition("?")
                query = dict(pair.partition("=")[::2] for pair in raw.split("&") if pair)
                answer = await self.handler(method, path, query, body)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class HttpClient:
    """One persistent connection to one address."""

    def __init__(self, port):
        self.port = port
        self.streams = None

    def close(self):
        if self.streams:
            self.streams[1].close()
            self.streams = None

    def abort(self):
        if self.streams:
            self.streams[1].transport.abort()
            self.streams = None

    async def request(self, method, path, body, within, on_sent=None):
        """Returns (status, object, headers). Raises OSError or asyncio.TimeoutError."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body, on_sent), within)
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError, ValueError) as error:
            self.close()
            raise OSError(str(error) or type(error).__name__) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def exchange(self, method, path, body, on_sent):
        if self.streams is None:
            self.streams = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        reader, writer = self.streams
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
            f"content-length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        if on_sent:
            on_sent()
        message = await read_message(reader)
        if message is None:
            raise OSError("closed")
        line, headers, raw = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), (json.loads(raw) if raw else None), headers


# ---------------------------------------------------------------- network


class Proxy:
    """A TCP proxy to one port. It can hold back what the open connections carry, or refuse."""

    def __init__(self, target):
        self.target = target
        self.connections = []
        self.refuses = False
        self.holds = False
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def accept(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        connection = ProxyConnection(self, reader, writer)
        self.connections.append(connection)
        try:
            await connection.run()
        except asyncio.CancelledError:
            pass
        finally:
            self.connections.remove(connection)

    def hold(self):
        """Holds back everything, on open and on new connections."""
        self.holds = True
        for connection in self.connections:
            connection.open.clear()

    def hold_open_connections(self):
        """Holds back everything on the connections that are open now; new ones pass."""
        held = list(self.connections)
        for connection in held:
            connection.open.clear()
        return held

    def release(self):
        self.holds = False
        for connection in self.connections:
            connection.open.set()

    def reset(self):
        for connection in list(self.connections):
            connection.abort()


class ProxyConnection:
    def __init__(self, proxy, reader, writer):
        self.proxy, self.reader, self.writer = proxy, reader, writer
        self.open = asyncio.Event()
        if not proxy.holds:
            self.open.set()
        self.upstream = None

    def abort(self):
        self.writer.transport.abort()
        if self.upstream:
            self.upstream.transport.abort()

    async def run(self):
        await self.open.wait()
        try:
            reader, self.upstream = await asyncio.open_connection(HOST, self.proxy.target)
        except OSError:
            self.writer.transport.abort()
            return
        forth = asyncio.create_task(self.pump(self.reader, self.upstream))
        back = asyncio.create_task(self.pump(reader, self.writer))
        await asyncio.wait([forth, back])
        self.abort()

    async def pump(self, reader, writer):
        """Forwards bytes in order. What was read is delivered even if its sender has closed."""
        try:
            while True:
                data = await reader.read(1 << 16)
                await self.open.wait()
                if not data:
                    if writer is self.upstream:
                        # Leaves the receiver time to read what was held back.
                        await asyncio.sleep(0.5)
                    writer.close()
                    return
                try:
                    writer.write(data)
                    await writer.drain()
                except OSError:
                    if writer is self.upstream:
                        return
        except OSError:
            # The sender has reset the connection: nothing more comes from it.
            await self.open.wait()
            if writer is self.upstream:
                await asyncio.sleep(0.5)
            writer.close()


# ---------------------------------------------------------------- state service


class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, now()

    def take(self, count=1):
        at = now()
        self.tokens = min(self.rate, self.tokens + (at - self.at) * self.rate)
        self.at = at
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class Store:
    def __init__(self, limits):
        self.limits = limits
        self.keys = {}
        self.revision = 0
        self.log = []
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.requests = Bucket(limits["rps"])
        self.writes = Bucket(limits["write_rps"])
        self.server = HttpServer(self.handle)
        self.is_down = False

    async def start(self):
        port = await self.server.start()
        self.expiry = asyncio.create_task(self.expire())
        return port

    async def expire(self):
        while True:
            await asyncio.sleep(0.03)
            if self.is_down:
                continue
            ended = [lease for lease, (_, until) in self.leases.items() if now() > until]
            for lease in ended:
                # The lease may have been revoked or renewed meanwhile.
                if lease in self.leases and now() > self.leases[lease][1]:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        attached = [key for key, entry in self.keys.items() if entry[2] == lease]
        if attached:
            self.revision += 1
            for key in attached:
                del self.keys[key]
                self.log.append((self.revision, {"delete": key, "stamp": self.revision}))
            await self.notify()

    async def notify(self):
        del self.log[:-10_000]
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def go_down(self):
        self.is_down = True
        self.down_since = now()

    async def come_back(self):
        self.is_down = False
        for lease, (life, _) in list(self.leases.items()):
            self.leases[lease] = (life, now() + life)
        await self.notify()

    async def handle(self, method, path, query, body):
        await asyncio.sleep(random.uniform(0.003, 0.008))
        if self.is_down:
            if path == "/follow":
                while self.is_down:
                    await asyncio.sleep(0.1)
            else:
                return 503, {"error": "trouble"}
        if not self.requests.take():
            return 429, {}
        body = json.loads(body) if body else {}
        if path == "/txn":
            return await self.transact(body)
        if path == "/follow":
            return await self.follow(query)
        if path == "/keys":
            return self.list(query)
        if path.startswith("/keys/"):
            return self.get(path[len("/keys/") :])
        if path == "/leases":
            self.last_lease += 1
            life = body["lifeMs"] / 1000
            self.leases[self.last_lease] = (life, now() + life)
            return 200, {"tenure": self.last_lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            await self.end_lease(lease)
        else:
            life = self.leases[lease][0]
            self.leases[lease] = (life, now() + life)
        return 200, {}

    def row(self, key):
        value, stamp, lease = self.keys[key]
        row = {"k": key, "value": value, "stamp": stamp}
        return {**row, "tenure": lease} if lease else row

    def get(self, key):
        return (200, self.row(key)) if key in self.keys else (404, {"ledger": self.revision})

    def list(self, query):
        since, most = query.get("since", ""), min(int(query.get("most", 1000)), 1000)
        keys = sorted(
            key for key in self.keys if key.startswith(query.get("starts", "")) and key > since
        )
        rows = [self.row(key) for key in keys[:most]]
        return 200, {"rows": rows, "more": len(keys) > most, "ledger": self.revision}

    async def follow(self, query):
        prefix, since = query.get("starts", ""), int(query["since"])
        until = now() + min(int(query.get("waitMs", 0)), 60_000) / 1000
        while True:
            changed = self.changed
            if self.log and since < self.log[0][0] - 1 and len(self.log) >= 10_000:
                return 410, {}
            events = [
                event
                for stamp, event in self.log
                if stamp > since and (event.get("set") or event.get("delete")).startswith(prefix)
            ]
            left = until - now()
            if (events or left <= 0) and not self.is_down:
                return 200, {"ledger": self.revision, "log": events}
            try:
                await asyncio.wait_for(changed.wait(), max(left, 0.05))
            except asyncio.TimeoutError:
                pass

    async def transact(self, body):
        conditions, changes = body.get("if") or [], body.get("then") or []
        limits = self.limits
        sizes = [len(json.dumps(c["value"])) for c in changes if "set" in c]
        if (
            len(changes) > limits["txn_ops"]
            or len(conditions) > 4 * limits["txn_ops"]
            or any(size > limits["value_kb"] * 1024 for size in sizes)
            or len(json.dumps(body)) > 64 * 1024
        ):
            return 400, {"error": "too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {}
        if any(c.get("tenure") and c["tenure"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        stamp_of = lambda key: self.keys[key][1] if key in self.keys else 0
        failed = [c["k"] for c in conditions if stamp_of(c["k"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if "set" in change:
                    key, value = change["set"], change["value"]
                    self.keys[key] = (value, self.revision, change.get("tenure"))
                    event = {"set": key, "value": value, "stamp": self.revision}
                elif change["delete"] in self.keys:
                    del self.keys[change["delete"]]
                    event = {"delete": change["delete"], "stamp": self.revision}
                else:
                    continue
                self.log.append((self.revision, event))
        # The revision of this transaction: others may follow while the watches are told.
        revision = self.revision
        if changes:
            await self.notify()
        return 200, {"ledger": revision}


# ---------------------------------------------------------------- cloud


class Cloud:
    """Rents machines. `capacity` maps (type, zone, is spot) to the number that may be rented."""

    def __init__(self, world, types, capacity):
        self.world, self.types, self.capacity = world, types, capacity
        self.machines = {}
        self.hires = {}
        self.rental_requests = 0
        self.is_down = False
        self.last = 0
        self.history = []
        self.calls = Bucket(2 * world.settings["cloud"]["rps"])
        self.calls.rate = world.settings["cloud"]["rps"]
        self.server = HttpServer(self.handle)

    async def start(self):
        port = await self.server.start()
        self.recorder = asyncio.create_task(self.keep_history())
        return port

    async def keep_history(self):
        while True:
            rows = [
                {
                    "id": name,
                    "addr": m["addr"],
                    "build": m["build"],
                    "yard": m["yard"],
                    "loaners": m["spot"],
                    "standing": m["standing"],
                    "heldS": round(now() - m["since"], 1),
                }
                for name, m in sorted(self.machines.items())
            ]
            self.history.append((now(), rows))
            del self.history[:-400]
            await asyncio.sleep(0.1)

    def listed(self):
        at = now() - self.world.settings["cloud"]["list_lag_s"]
        rows = self.history[0][1] if self.history else []
        for taken, snapshot in self.history:
            if taken <= at:
                rows = snapshot
        return rows

    async def add(self, build, yard, spot, boots_in=0.0):
        self.last += 1
        name = f"m-{self.last:06d}"
        worker = Worker(self.world, name, build, yard, spot)
        await worker.listen()
        self.world.workers[name] = worker
        self.machines[name] = {
            "addr": worker.addr,
            "build": build,
            "yard": yard,
            "spot": spot,
            "standing": "booting" if boots_in else "running",
            "since": now() - (0 if boots_in else 100),
        }
        asyncio.create_task(self.boot(name, worker, boots_in))
        return name

    async def boot(self, name, worker, boots_in):
        await asyncio.sleep(boots_in)
        if name in self.machines:
            self.machines[name]["standing"] = "running"
            worker.power_on()

    async def handle(self, method, path, query, body):
        await asyncio.sleep(random.uniform(0.05, 0.2))
        if self.is_down:
            return 503, {"error": "trouble"}
        if not self.calls.take():
            return 429, {}
        body = json.loads(body) if body else {}
        if path == "/machine_types":
            return 200, {"builds": self.types}
        if path == "/machines" and method == "GET":
            since, most = query.get("since", ""), min(int(query.get("most", 500)), 500)
            rows = [row for row in self.listed() if row["id"] > since]
            return 200, {"rigs": rows[:most], "more": len(rows) > most}
        if path == "/machines":
            return await self.rent(body)
        if path == "/machines/return":
            for name in body["rigs"]:
                if machine := self.machines.pop(name, None):
                    kind = (machine["build"], machine["yard"], machine["spot"])
                    self.capacity[kind] = self.capacity.get(kind, 0) + 1
                    self.world.record("returned", rig=name)
                    self.world.workers[name].power_off()
            return 200, {}
        return 404, {}

    async def rent(self, body):
        name, kind = body["hire"], (body["build"], body["yard"], body["loaners"])
        self.rental_requests += 1
        if name in self.hires:
            return 200, {"rigs": self.hires[name]}
        count = min(body["howMany"], self.capacity.get(kind, 0), 50)
        self.world.record("hire", name=name, of=kind, asked=body["howMany"], given=count)
        if count == 0:
            return 503, {"error": "no capacity"}
        self.capacity[kind] -= count
        ready = next(t["readyS"] for t in self.types if t["name"] == body["build"])
        rigs = [await self.add(*kind, boots_in=ready * 0.6) for _ in range(count)]
        self.hires[name] = rigs
        return 200, {"rigs": rigs}


# ---------------------------------------------------------------- workers


class Worker:
    """A machine with its worker, as the protocol page describes it."""

    def __init__(self, world, name, build, yard, spot):
        self.world, self.name, self.build, self.yard, self.spot = world, name, build, yard, spot
        self.type = next(t for t in world.types if t["name"] == build)
        self.server = HttpServer(self.handle)
        self.is_on = False
        self.faulty = False
        self.jobs = []
        self.images = set()
        self.proxies = None
        self.loop_tasks = []
        self.forget()

    def forget(self):
        """State of a worker process that has just started."""
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks = {}
        self.images = set()
        self.accepted = 0

    async def listen(self):
        port = await self.server.start()
        self.do_proxy = Proxy(port)
        self.addr = f"{HOST}:{await self.do_proxy.start()}"
        # One proxy to each controller, so that the network between them can be disturbed.
        self.proxies = []
        for node in self.world.nodes:
            proxy = Proxy(node.bind)
            await proxy.start()
            self.proxies.append(proxy)

    def power_on(self):
        self.is_on = True
        self.lease_from = now()
        self.node = random.randrange(len(self.proxies))
        self.clients = [HttpClient(proxy.port) for proxy in self.proxies]
        self.dirty = asyncio.Event()
        self.reporting = asyncio.create_task(self.report_loop())
        self.leasing = asyncio.create_task(self.lease_loop())

    def power_off(self):
        """The machine stops with all that is on it."""
        self.is_on = False
        for task in getattr(self, "loop_tasks", []):
            task.cancel()
        self.loop_tasks = []
        for key in list(self.tasks):
            self.leave(key, "machine off")
        if hasattr(self, "reporting"):
            self.reporting.cancel()
            self.leasing.cancel()
            for client in self.clients:
                client.close()

    async def restart(self, away_s):
        """The machine loses power and is back with a new worker process."""
        self.world.record("restart", rig=self.name, away_s=away_s)
        self.power_off()
        for writer in list(self.server.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.forget()
        self.power_on()

    # --- tasks

    def leave(self, key, why):
        """The task is not on the machine any more."""
        task = self.tasks[key]
        if task.get("on"):
            task["on"] = False
            self.world.judge.left(self, key, why)

    def free(self):
        cores, memory = self.type["cores"], self.type["memGb"]
        for (hand, _), task in self.tasks.items():
            if task["standing"] != "exited":
                job = self.world.jobs[hand.rsplit("/", 1)[0]]
                cores, memory = cores - job["cores"], memory - job["memGb"]
        return cores, memory

    def execute(self, orders, route):
        for order in orders:
            key = (order["hand"], order["try"])
            self.world.record("order", rig=self.name, route=route, **order)
            if order["verb"] == "launch":
                self.launch(key)
            elif order["verb"] == "halt":
                self.halt(key, order["leewayS"])
            elif order["verb"] == "reap":
                if key in self.tasks and self.tasks[key]["standing"] == "exited":
                    del self.tasks[key]
                    self.dirty.set()

    def launch(self, key):
        if key in self.tasks:
            return
        job = self.world.jobs.get(key[0].rsplit("/", 1)[0])
        cause = None
        if job is None:
            cause = "unknown"
        elif any(k[0] == key[0] and t["standing"] != "exited" for k, t in self.tasks.items()):
            cause = "in_use"
        elif self.free()[0] < job["cores"] - 1e-9 or self.free()[1] < job["memGb"] - 1e-9:
            cause = "no_room"
        if cause:
            self.tasks[key] = {"standing": "exited", "cause": cause}
        else:
            self.tasks[key] = {"standing": "pulling"}
            self.loop_tasks.append(asyncio.create_task(self.run(key, job, self.tasks[key])))
        self.dirty.set()

    async def run(self, key, job, task):
        if job["deck"] not in self.images:
            await asyncio.sleep(job["sizeGb"] / self.type["pullGbPerS"])
            if task["standing"] != "pulling":
                return
            self.images.add(job["deck"])
        task["standing"], task["on"] = "running", True
        self.world.judge.started(self, key)
        self.dirty.set()
        await asyncio.sleep(0.3 if self.faulty else self.world.run_s[job["id"]])
        if task["standing"] == "running" and self.tasks.get(key) is task:
            self.exit(key, "error" if self.faulty else "done")

    def exit(self, key, cause):
        task = self.tasks[key]
        task["standing"], task["cause"] = "exited", cause
        if cause == "done":
            self.world.judge.completed(key)
        self.leave(key, cause)
        self.dirty.set()

    def halt(self, key, leeway_s):
        task = self.tasks.get(key)
        if task is None or task["standing"] == "exited":
            return
        job = self.world.jobs[key[0].rsplit("/", 1)[0]]
        saves = job["markS"] > 0 and leeway_s >= job["stowS"]
        if task["standing"] == "running" and saves:
            task["standing"] = "saving"
            self.loop_tasks.append(asyncio.create_task(self.save(key, job, task)))
            self.dirty.set()
        elif task["standing"] != "saving" or leeway_s == 0:
            self.exit(key, "stopped")

    async def save(self, key, job, task):
        await asyncio.sleep(job["stowS"])
        if task["standing"] == "saving" and self.tasks.get(key) is task:
            task["stored"] = True
            self.exit(key, "stopped")

    # --- messages

    def report(self):
        self.tally += 1
        hands = []
        for (hand, attempt), task in self.tasks.items():
            row = {"hand": hand, "try": attempt, "standing": task["standing"]}
            if "cause" in task:
                row["cause"] = task["cause"]
            if task.get("stored"):
                row["stored"] = True
            hands.append(row)
        return {
            "rig": self.name,
            "addr": self.addr,
            "build": self.build,
            "yard": self.yard,
            "loaners": self.spot,
            "shift": self.shift,
            "tally": self.tally,
            "baton": self.baton,
            "warningS": None,
            "hands": hands,
        }

    async def handle(self, method, path, query, body):
        if not self.is_on:
            return None
        if path == "/show":
            return 200, self.report()
        body = json.loads(body)
        if "baton" not in body or "shift" not in body:
            return 400, {}
        self.check_lease()
        if body["baton"] < self.baton or body["shift"] != self.shift:
            self.world.record(
                "refused", rig=self.name, baton=body["baton"], shift=body["shift"],
                own=(self.baton, self.shift),
            )
            return 409, self.report()
        self.see(body["baton"])
        self.execute(body["orders"], "do")
        return 200, self.report()

    def see(self, baton):
        if baton > self.baton:
            self.baton = baton
            if now() - getattr(self, "token_change_at", -100) > self.world.lease_s / 2:
                self.token_change_at = now()
                self.dirty.set()

    def check_lease(self):
        if now() - self.lease_from > self.world.lease_s:
            self.world.record("session ends", rig=self.name, shift=self.shift)
            for key in list(self.tasks):
                self.leave(key, "lease")
            self.tasks = {}
            self.shift += 1
            self.lease_from = now()
            self.dirty.set()

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.05)
            self.check_lease()

    async def report_loop(self):
        report_s = self.world.settings["workers"]["report_s"]
        while True:
            self.dirty.clear()
            sent_at = now()
            retry_s = await self.send_report()
            if retry_s is not None:
                await asyncio.sleep(retry_s)
                continue
            until = sent_at + report_s * random.uniform(0.75, 1.25)
            await asyncio.sleep(max(0, sent_at + 0.5 - now()))
            try:
                await asyncio.wait_for(self.dirty.wait(), max(0.01, until - now()))
            except asyncio.TimeoutError:
                pass

    async def send_report(self):
        """Sends one report. Returns the time until the next one, or None if it was accepted."""
        node, report, sent_at = self.node, self.report(), now()
        sent = lambda: self.world.record(
            "report", rig=self.name, to=f"dealer-{node}", shift=report["shift"],
            tally=report["tally"], baton=report["baton"],
            hands=json.dumps([f"{h['hand']}#{h['try']}:{h['standing']}" for h in report["hands"]]),
        )
        try:
            status, answer, _ = await self.clients[node].request(
                "POST", "/checkin", report, 4.0, sent
            )
        except OSError as error:
            self.world.record("no answer", rig=self.name, tally=report["tally"], why=error)
            self.node = (node + 1) % len(self.clients)
            return 1.0
        if status == 200:
            baton = answer.get("baton")
            valid = report["shift"] == self.shift and baton is not None and baton >= self.baton
            self.check_lease()
            if not valid or report["shift"] != self.shift:
                self.world.record("dropped", rig=self.name, tally=report["tally"], baton=baton)
                return None
            self.accepted += 1
            self.see(baton)
            self.lease_from = sent_at
            self.execute(answer["orders"], f"answer to {report['tally']}")
            return None
        self.world.record("turned away", rig=self.name, tally=report["tally"], status=status)
        named = (answer or {}).get("answerTo") if status == 421 else None
        labels = [n.label for n in self.world.nodes]
        self.clients[node].close()
        if named in labels and labels.index(named) != node:
            self.node = labels.index(named)
            return random.uniform(0.0, 0.5)
        self.node = (node + 1) % len(self.clients)
        return 1.0


# ---------------------------------------------------------------- rules


class Judge:
    """Checks the rules of the protocol page on what the machines run and the users are told."""

    def __init__(self, world):
        self.world = world
        self.on = {}
        self.starts = set()
        self.done_tasks = set()
        self.cancelled_at = {}
        self.final = {}
        self.broken = []

    def breaks(self, rule, **fields):
        self.broken.append(rule)
        self.world.record(f"BROKEN {rule}", **fields)

    def started(self, worker, key):
        hand, job_id = key[0], key[0].rsplit("/", 1)[0]
        job = self.world.jobs[job_id]
        self.world.record("start", rig=worker.name, hand=hand, attempt=key[1])
        self.starts.add(hand)
        elsewhere = [rig for rig in self.on.get(hand, {}) if rig != worker.name]
        if elsewhere:
            self.breaks("ran_twice", hand=hand, rig=worker.name, still_on=elsewhere)
        self.on.setdefault(hand, {})[worker.name] = key
        used = sum(
            self.world.jobs[h.rsplit("/", 1)[0]]["cores"] * len(rigs)
            for h, rigs in self.on.items()
            if self.world.jobs[h.rsplit("/", 1)[0]]["crew"] == job["crew"]
        )
        limit = self.world.limits[job["crew"]]
        if used > limit + 1e-6:
            self.breaks("quota", crew=job["crew"], used=used, limit=limit)
        allowed = (
            (job["loaners"] or not worker.spot)
            and job["yard"] in (None, worker.yard)
            and (job["builds"] is None or worker.build in job["builds"])
        )
        if not allowed:
            self.breaks("wrong_place", hand=hand, rig=worker.name)
        self.check_cancelled(job_id, "starts")

    def left(self, worker, key, why):
        self.world.record("end", rig=worker.name, hand=key[0], attempt=key[1], why=why)
        rigs = self.on.get(key[0], {})
        rigs.pop(worker.name, None)
        if not rigs:
            self.on.pop(key[0], None)

    def completed(self, key):
        self.done_tasks.add(key[0])

    def check_cancelled(self, job_id, what):
        at = self.cancelled_at.get(job_id)
        if at is not None and now() - at > self.world.settings["workers"]["cancel_s"]:
            self.breaks("ran_cancelled", job=job_id, what=what, told=round(at, 3))

    def tick(self):
        for hand in list(self.on):
            self.check_cancelled(hand.rsplit("/", 1)[0], "is on a machine")

    def told(self, job_id, standing, asked_at):
        """A user was told a job's state, in the answer to a request sent at `asked_at`."""
        if standing == "cancelled" and job_id not in self.cancelled_at:
            self.cancelled_at[job_id] = now()
        if standing == "done":
            tasks = {f"{job_id}/{i}" for i in range(self.world.jobs[job_id]["hands"])}
            if not tasks <= self.done_tasks:
                self.breaks("not_done", job=job_id, missing=sorted(tasks - self.done_tasks)[:5])
        before, told_at = self.final.get(job_id, (standing, 0))
        if before != standing and asked_at > told_at:
            self.breaks("went_back", job=job_id, before=before, now=standing)
        if standing in ("done", "cancelled") and job_id not in self.final:
            self.final[job_id] = (standing, now())


# ---------------------------------------------------------------- controllers and users


class Node:
    """One controller: the project's own program in a process of its own."""

    def __init__(self, world, index):
        self.world, self.index, self.label = world, index, f"dealer-{index}"
        self.process = None
        self.bind, self.mesh = free_port(), free_port()

    def write_settings(self, state_port, cloud_port, seeds):
        zones = self.world.settings["zones"]
        settings = {
            "label": self.label,
            "area": zones[self.index % len(zones)],
            "bind": f"{HOST}:{self.bind}",
            "mesh_addr": f"{HOST}:{self.mesh}",
            "seeds": seeds,
            "endpoints": {
                "cloud": f"{HOST}:{cloud_port}",
                "state": f"{HOST}:{state_port}",
            },
            "settings": self.world.settings,
        }
        self.file = os.path.join(self.world.folder, f"{self.label}.json")
        with open(self.file, "w") as file:
            json.dump(settings, file)

    def start(self):
        deploy = open(os.path.join(ROOT, "deploy", "service.toml")).read()
        run = next(line for line in deploy.splitlines() if line.startswith("run ="))
        command = run.split('"')[1].split(" ") + [self.file]
        log = open(os.path.join(self.world.folder, f"{self.label}.log"), "ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, stderr=log, stdout=log, stdin=subprocess.DEVNULL,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
        )
        self.world.record("controller started", label=self.label)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.world.record("controller killed", label=self.label)

    def stop(self):
        self.process.send_signal(signal.SIGSTOP)
        self.world.record("controller stopped", label=self.label)

    def go_on(self):
        self.process.send_signal(signal.SIGCONT)
        self.world.record("controller goes on", label=self.label)


NEXT_PORT = 20_000


def free_port():
    """A free port below those that the system gives to the stand-ins' own listeners."""
    global NEXT_PORT
    while True:
        NEXT_PORT += 1
        with socket.socket() as probe:
            try:
                probe.bind((HOST, NEXT_PORT))
                return NEXT_PORT
            except OSError:
                pass


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, settings, types, capacity, record_path, nodes=3):
        self.settings, self.types = settings, types
        self.lease_s = settings["workers"]["lease_s"]
        self.limits = {team["name"]: team["cpus_max"] for team in settings["teams"]}
        self.folder = tempfile.mkdtemp(prefix="rockdeal-review-")
        self.record = Record(record_path)
        self.jobs, self.run_s, self.workers = {}, {}, {}
        self.judge = Judge(self)
        self.nodes = [Node(self, index) for index in range(nodes)]
        self.capacity = capacity

    async def start(self):
        self.store = Store(self.settings["state"])
        store_port = await self.store.start()
        self.cloud = Cloud(self, self.types, self.capacity)
        cloud_port = await self.cloud.start()
        self.state_proxies, self.mesh_proxies = [], {}
        for node in self.nodes:
            proxy = Proxy(store_port)
            await proxy.start()
            self.state_proxies.append(proxy)
            seeds = []
            for other in self.nodes:
                if other is not node:
                    mesh = Proxy(other.mesh)
                    await mesh.start()
                    self.mesh_proxies[(node.index, other.index)] = mesh
                    zones = self.settings["zones"]
                    seeds.append(
                        {
                            "label": other.label,
                            "area": zones[other.index % len(zones)],
                            "addr": f"{HOST}:{mesh.port}",
                        }
                    )
            node.write_settings(proxy.port, cloud_port, seeds)
        self.ticker = asyncio.create_task(self.tick())

    async def tick(self):
        while True:
            await asyncio.sleep(0.2)
            self.judge.tick()

    def close(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def owner(self):
        """The controller that holds the first partition, by what the store shows."""
        entry = self.store.keys.get("r/blocks/0/holder")
        return next((n for n in self.nodes if entry and n.label == entry[0]["holder"]), None)

    async def wait_for(self, what, condition, within):
        until = now() + within
        while not condition():
            if now() > until:
                raise CannotRun(f"{what}: not within {within} s")
            await asyncio.sleep(0.05)
        self.record("reached", what=what)

    async def wait_until_up(self, within=25):
        async def is_up(node):
            try:
                return (await HttpClient(node.bind).request("GET", "/up", None, 1.0))[0] == 200
            except OSError:
                return False

        until = now() + within
        while not all([await is_up(node) for node in self.nodes]):
            if now() > until:
                raise CannotRun("the controllers are not up")
            await asyncio.sleep(0.3)

    # --- users

    async def ask(self, method, path, body, within, node=None):
        """One request of a user, to a given controller or to any one that runs."""
        alive = [n for n in self.nodes if n.process and n.process.poll() is None]
        node = node or random.choice(alive or self.nodes)
        client = HttpClient(node.bind)
        try:
            status, answer, _ = await client.request(method, path, body, within)
            self.record("user", asks=f"{method} {path}", of=node.label, status=status,
                        answer=json.dumps(answer))
            return status, answer
        except OSError as error:
            self.record("user", asks=f"{method} {path}", of=node.label, status="none", why=error)
            return None, None
        finally:
            client.close()

    async def submit(self, job, run_s):
        """Uploads the job's description and submits it until it is accepted."""
        self.jobs[job["id"]], self.run_s[job["id"]] = job, run_s
        until = now() + 60
        while now() < until:
            asked_at = now()
            status, answer = await self.ask("POST", "/v1/jobs", job, 5.0)
            if status in (200, 201):
                self.judge.told(job["id"], answer["standing"], asked_at)
                return now()
            if status in (400, 422):
                raise CannotRun(f"{job['id']} was refused with {status}")
            await asyncio.sleep(1.0)
        raise CannotRun(f"{job['id']} was not accepted")

    async def poll(self, job_id, node=None):
        asked_at = now()
        status, answer = await self.ask("GET", f"/v1/jobs/{job_id}", None, 2.0, node)
        if status == 200:
            self.judge.told(job_id, answer["standing"], asked_at)
            return answer["standing"]
        if status == 404:
            self.judge.breaks("forgotten", job=job_id)
        return None

    async def cancel(self, job_id):
        while True:
            asked_at = now()
            status, answer = await self.ask("POST", f"/v1/jobs/{job_id}/abort", None, 5.0)
            if status == 200:
                self.judge.told(job_id, answer["standing"], asked_at)
                return answer["standing"]
            await asyncio.sleep(1.0)


class CannotRun(Exception):
    """The case could not be brought about."""


def job(number, hands, cores, mem, crew="network-analytics-00", **other):
    """A submission with the fields of the protocol page."""
    return {
        "id": f"j-{number:06d}", "lot": "meter-reconcile", "crew": crew, "form": "sweep",
        "rank": "standard", "hands": hands, "cores": cores, "cards": 0.0, "memGb": mem,
        "deck": "img-1", "sizeGb": 0.2, "builds": None, "yard": None, "oneZone": False,
        "apart": False, "loaners": False, "reckonS": 60.0, "markS": 0.0, "stowS": 0.0,
        "dueS": None, **other,
    }


DERWENT_TYPES = [
    {"name": "kunanyi-small", "cores": 4.0, "cards": 0.0, "memGb": 16.0, "cacheGb": 80.0,
     "pullGbPerS": 0.5, "price": 0.18, "lowPrice": 0.06, "readyS": 35.0,
     "yards": ["hobart-depot", "new-norfolk"]},
    {"name": "kunanyi-medium", "cores": 8.0, "cards": 0.0, "memGb": 32.0, "cacheGb": 80.0,
     "pullGbPerS": 0.5, "price": 0.34, "lowPrice": 0.1, "readyS": 50.0,
     "yards": ["hobart-depot", "new-norfolk"]},
    {"name": "kunanyi-large", "cores": 16.0, "cards": 0.0, "memGb": 64.0, "cacheGb": 80.0,
     "pullGbPerS": 0.8, "price": 0.73, "lowPrice": 0.23, "readyS": 25.0,
     "yards": ["hobart-depot", "new-norfolk"]},
]


def derwent_settings():
    """The settings of the deploy page's example, for the zones that the controllers are in."""
    return {
        "initial_size": 3,
        "zones": ["hobart-depot", "new-norfolk"],
        "teams": [
            {"name": f"network-analytics-{i:02d}", "cpus": 32.0, "cpus_max": 96.0, "gpus": 0.0,
             "gpus_max": 0.0}
            for i in range(10)
        ],
        "objectives": [
            {"kind": "deadline", "class": "gauge-alerts", "share": 0.95, "times": 1.0},
            {"kind": "deadline", "class": "meter-reconcile", "share": 0.9, "times": 1.0},
            {"kind": "guarantee", "within_s": 10.0, "share": 0.88},
        ],
        "workers": {"report_s": 3.0, "lease_s": 29.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0,
                    "cancel_s": 59.0},
        "state": {"rps": 150.0, "write_rps": 30.0, "value_kb": 32.0, "txn_ops": 16},
        "cloud": {"rps": 4.0, "list_lag_s": 4.0},
        "limits": {"cpu_share": 0.064, "ram_mb": 136.0, "sockets": 2500},
        "clock_off_ms": 5.0,
    }


SANGRE_TYPES = [
    {"name": "colibri", "cores": 4.0, "cards": 0.0, "memGb": 16.0, "cacheGb": 80.0,
     "pullGbPerS": 0.5, "price": 0.25, "lowPrice": 0.06, "readyS": 35.0,
     "yards": ["escazu-rack", "heredia-dc"]},
    {"name": "jaguar", "cores": 16.0, "cards": 0.0, "memGb": 64.0, "cacheGb": 80.0,
     "pullGbPerS": 0.8, "price": 0.93, "lowPrice": 0.22, "readyS": 25.0,
     "yards": ["escazu-rack", "heredia-dc"]},
]

SANGRE_CAPACITY = {
    ("colibri", "escazu-rack", False): 7, ("colibri", "escazu-rack", True): 6,
    ("colibri", "heredia-dc", False): 10, ("colibri", "heredia-dc", True): 8,
    ("jaguar", "escazu-rack", False): 2, ("jaguar", "escazu-rack", True): 2,
    ("jaguar", "heredia-dc", False): 2, ("jaguar", "heredia-dc", True): 3,
}


def sangre_settings():
    """The settings of the second operator, by the brief and the site file."""
    settings = derwent_settings()
    settings["zones"] = ["escazu-rack", "heredia-dc"]
    for index, team in enumerate(settings["teams"]):
        team["name"] = f"plataforma-{index:02d}"
    settings["objectives"] = [
        {"kind": "wait", "class": "slot-match", "within_s": 20.0, "share": 0.96},
        {"kind": "wait", "class": "slot-match", "within_s": 40.0, "share": 0.96},
        {"kind": "finished", "class": "slot-match", "within_s": 50.0, "share": 0.96},
        {"kind": "deadline", "class": "reminder-send", "share": 0.9, "times": 1.0},
        {"kind": "guarantee", "within_s": 15.0, "share": 0.94},
    ]
    settings["workers"].update({"report_s": 3.0, "lease_s": 45.0, "cancel_s": 65.0})
    settings["state"] = {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 48}
    settings["cloud"] = {"rps": 4.0, "list_lag_s": 6.0}
    settings["limits"]["sockets"] = 3000
    settings["clock_off_ms"] = 25.0
    return settings


def main(case, make_world, record_path, limit_s=115):
    """Runs a case and exits with 1 if a rule was broken, 0 if all held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A signal from outside must not leave the controllers running.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(2))
    world = make_world(os.environ.get("RECORD", record_path))
    # Whatever hangs here: the script and the controllers end.
    signal.signal(signal.SIGALRM, lambda *_: (world.close(), os._exit(2)))
    signal.alarm(int(limit_s) + 4)
    code = 2
    try:

        async def run():
            await world.start()
            await asyncio.wait_for(case(world, trouble), limit_s)

        asyncio.run(run())
        code = 1 if world.judge.broken else 0
    except (CannotRun, asyncio.TimeoutError) as error:
        world.record("cannot run", why=error or "time is up")
        print(f"could not run: {error or 'time is up'}")
        code = 1 if world.judge.broken else 2
    finally:
        world.close()
    verdict = {0: "rules held", 1: "broken: " + ", ".join(sorted(set(world.judge.broken)))}
    text = verdict.get(code, "could not run")
    world.record("result", trouble=int(trouble), text=text)
    print(f"trouble={int(trouble)}: {text} ({now():.0f} s)")
    sys.exit(code)
