"""Stand-ins of the second review: state service, cloud, workers, users and a runner of controllers.

They follow PROTOCOL-rockdeal.md. Python's standard library is all they need. Every address is on
127.0.0.1, every port is free when it is taken, and all files but the record lie in a temporary folder.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
MAX_BODY = 64 * 1024
DONE_RANKS = ("done", "cancelled")


class CannotRun(Exception):
    """The case could not run: neither a pass nor a failure."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Returns the first line, the headers and the body of a message, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server. The handler gets method, path, query and body and returns a status and an
    object, or None to close the connection without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.port = None
        self.server = None
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                query = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
                answer = await self.handler(method, path, query, body)
                if answer is None:
                    break
                status, value = answer
                text = json.dumps(value, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.connections):
            writer.close()


class Client:
    """A client with one connection to one port."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def request(self, method, path, value, timeout):
        """Returns status, headers and the body's bytes; raises OSError or TimeoutError."""
        try:
            return await asyncio.wait_for(self._request(method, path, value), timeout)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            self.close()
            raise ConnectionError(str(error)) from error
        except BaseException:
            self.close()
            raise

    async def _request(self, method, path, value):
        text = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 24)
        self.writer.write(("%s %s HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-type: application/json\r\n"
                           "content-length: %d\r\n\r\n" % (method, path, len(text))).encode() + text)
        await self.writer.drain()
        first, headers, body = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), headers, body

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Bucket:
    """A rate limit with bursts of some seconds' worth."""

    def __init__(self, rate, seconds=1.0):
        self.rate, self.most, self.left, self.at = rate, rate * seconds, rate * seconds, time.monotonic()

    def take(self, count=1):
        now = time.monotonic()
        self.left = min(self.most, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < count:
            return False
        self.left -= count
        return True


# ---------------------------------------------------------------- state service

class Store:
    def __init__(self, world):
        self.world = world
        self.keys = {}
        self.ledger = 0
        self.log = []
        self.leases = {}
        self.last_lease = 0
        limits = world.settings["state"]
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.changed = asyncio.Condition()
        # Labels of the controllers that are refused, and a hook that may hold or drop a request.
        self.refused = set()
        self.cut = set()
        self.servers = {}

    async def listen(self, label):
        server = await Server(lambda m, p, q, b: self.handle(label, m, p, q, b)).start()
        self.servers[label] = server
        return server.port

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if now >= until:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, (_, _, owner) in self.keys.items() if owner == lease]
        if gone:
            self.ledger += 1
            for key in gone:
                del self.keys[key]
                self.note({"delete": key, "stamp": self.ledger})
            await self.wake()

    def note(self, event):
        self.log.append(event)
        key = event.get("set") or event.get("delete")
        if key in ("r/leader",) or key.endswith("/holder") or key.startswith("r/members/"):
            self.world.record("state", **event)

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, label, method, path, query, body):
        if label in self.cut:
            await asyncio.sleep(3600)
            return None
        if label in self.refused:
            return 503, {"error": "refused"}
        if not self.requests.take():
            return 429, {"error": "rate"}
        await asyncio.sleep(0.003)
        if path == "/txn":
            return await self.transaction(label, json.loads(body))
        if path == "/follow":
            return await self.follow(label, query)
        if path == "/keys":
            rows = []
            for key in sorted(self.keys):
                if key.startswith(query["starts"]) and key > query.get("since", ""):
                    rows.append(key)
            most = min(1000, int(query.get("most", "1000")))
            page = [{"k": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in rows[:most]]
            return 200, {"rows": page, "more": len(rows) > most, "ledger": self.ledger}
        if path.startswith("/keys/"):
            key = path[len("/keys/"):]
            if key not in self.keys:
                return 404, {"ledger": self.ledger}
            value, stamp, lease = self.keys[key]
            return 200, {"k": key, "value": value, "stamp": stamp, "tenure": lease}
        if path == "/leases":
            ttl = json.loads(body)["lifeMs"] / 1000.0
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl)
            return 200, {"tenure": self.last_lease}
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                await self.end_lease(lease)
            else:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {}
        return 400, {"error": "malformed"}

    async def transaction(self, label, txn):
        then = txn.get("then", [])
        if then and not self.writes.take(len(then)):
            return 429, {"error": "rate"}
        limits = self.world.settings["state"]
        if len(then) > limits["txn_ops"] or len(json.dumps(txn)) > MAX_BODY:
            return 400, {"error": "too large"}
        for change in then:
            if "set" in change and len(json.dumps(change["value"], separators=(",", ":"))) > limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in txn.get("if", [])
                  if (self.keys[c["k"]][1] if c["k"] in self.keys else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if then:
            self.ledger += 1
        for change in then:
            if "set" in change:
                self.keys[change["set"]] = (change["value"], self.ledger, change.get("tenure"))
                self.note({"set": change["set"], "value": change["value"], "stamp": self.ledger})
            elif change["delete"] in self.keys:
                del self.keys[change["delete"]]
                self.note({"delete": change["delete"], "stamp": self.ledger})
        committed = self.ledger
        if then:
            await self.wake()
        return 200, {"ledger": committed}

    async def follow(self, label, query):
        since, prefix = int(query.get("since", "0")), query.get("starts", "")
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000.0
        while True:
            events = []
            for event in reversed(self.log):
                if event["stamp"] <= since:
                    break
                if (event.get("set") or event.get("delete")).startswith(prefix):
                    events.append(event)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"ledger": self.ledger, "log": events[::-1]}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# ---------------------------------------------------------------- cloud

class Cloud:
    def __init__(self, world, types, capacity):
        self.world, self.types, self.capacity = world, types, dict(capacity)
        self.machines = {}
        self.hires = {}
        self.last = 0
        self.boot_s = 1.5
        self.requests = Bucket(world.settings["cloud"]["rps"], 2.0)
        self.history = []
        # Labels of controllers for which the cloud's interface is down.
        self.down = set()

    async def listen(self, label):
        server = await Server(lambda m, p, q, b: self.handle(label, m, p, q, b)).start()
        return server.port

    def add(self, build, yard, spot):
        self.last += 1
        name = "m-%06d" % self.last
        machine = {"id": name, "build": build, "yard": yard, "loaners": spot, "standing": "booting",
                   "since": time.monotonic()}
        self.machines[name] = machine
        self.world.spawn(self.boot(machine))
        return name

    async def boot(self, machine):
        worker = Worker(self.world, machine)
        await worker.open()
        machine["addr"] = worker.addr
        await asyncio.sleep(self.boot_s)
        if machine["id"] in self.machines:
            machine["standing"] = "running"
            self.world.workers[machine["id"]] = worker
            self.world.all_workers.append(worker)
            worker.start()

    async def keep_history(self):
        while True:
            now = time.monotonic()
            listed = [dict(machine, heldS=now - machine["since"]) for machine in self.machines.values()]
            for machine in listed:
                machine.pop("since")
            self.history.append((now, sorted(listed, key=lambda m: m["id"])))
            self.history = [entry for entry in self.history if entry[0] > now - 60]
            await asyncio.sleep(0.25)

    async def handle(self, label, method, path, query, body):
        if not self.requests.take():
            return 429, {"error": "rate"}
        if label in self.down:
            return 503, {"error": "trouble"}
        await asyncio.sleep(0.05)
        if path == "/machine_types":
            return 200, {"builds": self.types}
        if path == "/machines" and method == "GET":
            then = time.monotonic() - self.world.settings["cloud"]["list_lag_s"]
            listed = next((rigs for at, rigs in reversed(self.history) if at <= then), [])
            rows = [rig for rig in listed if rig["id"] > query.get("since", "")]
            most = min(500, int(query.get("most", "500")))
            return 200, {"rigs": rows[:most], "more": len(rows) > most}
        value = json.loads(body)
        self.world.record("cloud", node=label, path=path, body=value)
        if path == "/machines":
            if value["hire"] in self.hires:
                return 200, {"rigs": self.hires[value["hire"]]}
            kind = (value["build"], value["yard"], value["loaners"])
            count = min(value["howMany"], self.capacity.get(kind, 0))
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.capacity[kind] -= count
            self.hires[value["hire"]] = [self.add(*kind) for _ in range(count)]
            return 200, {"rigs": self.hires[value["hire"]]}
        for name in value["rigs"]:
            if name in self.machines:
                machine = self.machines.pop(name)
                kind = (machine["build"], machine["yard"], machine["loaners"])
                self.capacity[kind] = self.capacity.get(kind, 0) + 1
                worker = self.world.workers.pop(name, None)
                if worker:
                    worker.gone()
        return 200, {}


# ---------------------------------------------------------------- workers

class Worker:
    def __init__(self, world, machine):
        self.world, self.machine, self.name = world, machine, machine["id"]
        build = next(b for b in world.cloud.types if b["name"] == machine["build"])
        self.room = [build["cores"], build["memGb"]]
        self.shift, self.tally, self.baton = 1, 0, 0
        self.hands = {}
        self.images = set()
        self.node = random.randrange(len(world.nodes))
        self.client = None
        self.alive = True
        self.wake = asyncio.Event()
        self.last_answered = None
        self.token_change_at = -1e9
        self.accepted = 0
        # Counts that cases look at.
        self.lost_leases = 0
        self.oversize_reports = 0
        self.oversize_received = 0

    async def open(self):
        self.server = await Server(self.handle).start()
        self.addr = "127.0.0.1:%d" % self.server.port

    def start(self):
        self.last_answered = time.monotonic()
        self.tasks = [self.world.spawn(self.report_loop()), self.world.spawn(self.lease_loop())]

    def gone(self):
        """The machine and all that is on it are gone."""
        self.alive = False
        self.server.stop()
        for task in self.tasks:
            task.cancel()
        self.forget("machine gone")

    async def restart(self, away_s):
        """The machine stops with all that is on it and is back after a time, as a new worker at its address."""
        self.world.record("machine", rig=self.name, event="down")
        for task in self.tasks:
            task.cancel()
        self.server.stop()
        if self.client:
            self.client.close()
        self.client = None
        self.forget("machine down")
        self.images.clear()
        self.shift, self.tally, self.baton = 1, 0, 0
        await asyncio.sleep(away_s)
        self.server = await Server(self.handle).start(self.server.port)
        self.world.record("machine", rig=self.name, event="up")
        self.start()

    def forget(self, why):
        for key, hand in list(self.hands.items()):
            self.leave(key, why)
            if hand.get("timer"):
                hand["timer"].cancel()
        self.hands.clear()

    def leave(self, key, why):
        if self.hands[key].pop("on", False):
            self.world.record("off", rig=self.name, hand=key[0], attempt=key[1], why=why)
            self.world.on[key[0]].discard(self.name)

    def report(self):
        self.tally += 1
        hands = []
        for (hand, attempt), state in self.hands.items():
            row = {"hand": hand, "try": attempt, "standing": state["standing"]}
            if state.get("cause"):
                row["cause"] = state["cause"]
            hands.append(row)
        return {"rig": self.name, "addr": self.addr, "build": self.machine["build"],
                "yard": self.machine["yard"], "loaners": self.machine["loaners"], "shift": self.shift,
                "tally": self.tally, "baton": self.baton, "warningS": None, "hands": hands}

    async def lease_loop(self):
        lease = self.world.settings["workers"]["lease_s"]
        while self.alive:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.last_answered > lease:
                self.lost_leases += 1
                self.world.record("lease", rig=self.name, shift=self.shift, hands=len(self.hands))
                self.forget("lease expired")
                self.shift += 1
                self.tally = 0
                self.last_answered = time.monotonic()
                self.wake.set()

    async def report_loop(self):
        report_s = self.world.settings["workers"]["report_s"]
        while self.alive:
            self.wake.clear()
            started = time.monotonic()
            pause = await self.report_once()
            if pause:
                await asyncio.sleep(pause)
                continue
            try:
                await asyncio.wait_for(self.wake.wait(), report_s * random.uniform(0.75, 1.25))
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, started + 0.5 - time.monotonic()))

    async def report_once(self):
        """Sends one report. Returns the pause before the next one, 0 for the usual one."""
        report = self.report()
        text = json.dumps(report, separators=(",", ":")).encode()
        if len(text) > MAX_BODY:
            # A request body may be at most 64 KiB, so the worker has no report that it may send.
            self.oversize_reports += 1
            self.world.record("unsendable report", rig=self.name, bytes=len(text), hands=len(self.hands))
            return 1.0
        if self.client is None:
            self.client = Client(self.world.nodes[self.node].port)
        sent, shift = time.monotonic(), self.shift
        try:
            status, _, body = await self.client.request("POST", "/checkin", text, 4.0)
        except (OSError, asyncio.TimeoutError):
            return self.next_node()
        if status == 421:
            to = json.loads(body).get("answerTo")
            index = next((n.index for n in self.world.nodes if n.label == to), None)
            if index is None or index == self.node:
                return self.next_node()
            self.client.close()
            self.client, self.node = None, index
            return 0.05
        if status != 200:
            return self.next_node()
        if any(len(line) > MAX_BODY for line in body.split(b"\n")):
            self.oversize_received += 1
            self.world.record("oversize answer", rig=self.name, bytes=len(body))
            return self.next_node()
        answer = json.loads(body)
        if shift != self.shift or answer.get("baton") is None or answer["baton"] < self.baton:
            return 0
        self.accepted += 1
        self.last_answered = max(self.last_answered, sent)
        self.see(answer["baton"])
        self.obey(answer["orders"])
        return 0

    def next_node(self):
        if self.client:
            self.client.close()
        self.client, self.node = None, (self.node + 1) % len(self.world.nodes)
        return 1.0

    def see(self, baton):
        if baton > self.baton:
            self.baton = baton
            now = time.monotonic()
            if now - self.token_change_at > self.world.settings["workers"]["lease_s"] / 2:
                self.token_change_at = now
                self.wake.set()

    async def handle(self, method, path, query, body):
        if path == "/show":
            return 200, self.report()
        if len(body) > MAX_BODY:
            self.oversize_received += 1
            self.world.record("oversize request", rig=self.name, bytes=len(body))
            return 400, {"error": "a body may be at most 64 KiB"}
        value = json.loads(body)
        if value.get("baton") is None or value.get("shift") is None:
            return 400, {"error": "missing"}
        if value["baton"] < self.baton or value["shift"] != self.shift:
            return 409, self.report()
        self.see(value["baton"])
        self.obey(value["orders"])
        return 200, self.report()

    def obey(self, orders):
        for order in orders:
            key = (order["hand"], order["try"])
            verb = order["verb"]
            if verb == "launch":
                self.launch(key)
            elif verb == "halt" and key in self.hands and self.hands[key]["standing"] != "exited":
                self.exit(key, "stopped")
            elif verb == "reap" and key in self.hands and self.hands[key]["standing"] == "exited":
                del self.hands[key]

    def used(self):
        live = [h for h in self.hands.values() if h["standing"] != "exited"]
        return [sum(h["job"]["cores"] for h in live), sum(h["job"]["memGb"] for h in live)]

    def launch(self, key):
        if key in self.hands:
            return
        job = self.world.jobs.get(key[0].split("/")[0])
        cause = None
        if job is None or int(key[0].split("/")[1]) >= job["hands"]:
            cause = "unknown"
        elif any(k[0] == key[0] and h["standing"] != "exited" for k, h in self.hands.items()):
            cause = "in_use"
        else:
            used = self.used()
            if used[0] + job["cores"] > self.room[0] + 1e-6 or used[1] + job["memGb"] > self.room[1] + 1e-6:
                cause = "no_room"
        if cause:
            self.hands[key] = {"standing": "exited", "cause": cause, "job": job}
            self.wake.set()
            return
        hand = {"standing": "pulling", "job": job}
        self.hands[key] = hand
        delay = 0.0 if job["deck"] in self.images else self.world.pull_s
        hand["timer"] = asyncio.get_running_loop().call_later(delay, self.run, key)
        self.wake.set()

    def run(self, key):
        hand = self.hands[key]
        self.images.add(hand["job"]["deck"])
        if key[0] in self.world.finished:
            self.exit(key, "done")
            return
        hand["standing"], hand["on"] = "running", True
        self.world.start_task(self, key)
        hand["timer"] = asyncio.get_running_loop().call_later(
            self.world.run_s[key[0].split("/")[0]], self.complete, key)
        self.wake.set()

    def complete(self, key):
        if key[0].split("/")[0] in self.world.mistaken:
            # "A job that was submitted with a mistake fails on every machine, until its user cancels it."
            self.exit(key, "error")
            return
        self.world.finished.add(key[0])
        self.exit(key, "done")

    def exit(self, key, cause):
        hand = self.hands[key]
        if hand.get("timer"):
            hand["timer"].cancel()
        self.leave(key, cause)
        hand["standing"], hand["cause"] = "exited", cause
        self.wake.set()


# ---------------------------------------------------------------- controllers

class Node:
    def __init__(self, world, index, label, zone):
        self.world, self.index, self.label, self.zone = world, index, label, zone
        self.port, self.mesh = free_port(), free_port()
        self.process = None
        self.log = None

    def write_settings(self, settings):
        seeds = [{"label": n.label, "area": n.zone, "addr": "127.0.0.1:%d" % n.mesh}
                 for n in self.world.nodes if n is not self]
        self.path = os.path.join(self.world.folder, self.label + ".json")
        with open(self.path, "w") as file:
            json.dump({"label": self.label, "area": self.zone, "bind": "127.0.0.1:%d" % self.port,
                       "mesh_addr": "127.0.0.1:%d" % self.mesh, "seeds": seeds,
                       "endpoints": {"cloud": "127.0.0.1:%d" % self.cloud_port,
                                     "state": "127.0.0.1:%d" % self.state_port},
                       "settings": settings}, file)

    async def start(self):
        command = self.world.command + [self.path]
        self.log = open(os.path.join(self.world.folder, self.label + ".log"), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "error"))
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log, stdin=asyncio.subprocess.DEVNULL)
        self.world.record("controller", label=self.label, event="started", pid=self.process.pid)

    async def kill(self):
        self.process.kill()
        await self.process.wait()
        self.world.record("controller", label=self.label, event="killed")

    def signal(self, number):
        self.world.record("controller", label=self.label, event="signal %d" % number)
        self.process.send_signal(number)

    async def ask(self, method, path, value=None, timeout=2.0):
        client = Client(self.port)
        try:
            status, _, body = await client.request(method, path, value, timeout)
            return status, json.loads(body or b"null")
        except (OSError, asyncio.TimeoutError, ValueError):
            return None, None
        finally:
            client.close()


# ---------------------------------------------------------------- world

class World:
    def __init__(self, settings, types, capacity, record_path):
        self.settings = settings
        self.record_file = open(record_path, "w")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="rockdeal-review-")
        self.background = []
        self.nodes = []
        self.workers, self.all_workers = {}, []
        self.jobs, self.run_s = {}, {}
        self.on, self.starts = {}, {}
        self.finished = set()
        # Jobs that were submitted with a mistake; their tasks fail as soon as they have run for their time.
        self.mistaken = set()
        self.pull_s = 0.3
        self.broken = []
        self.cloud = Cloud(self, types, capacity)
        self.store = Store(self)
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            lines = dict(line.split(" = ", 1) for line in file if " = " in line)
        self.command = json.loads(lines["run"]).split()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.background.append(task)
        return task

    def record(self, what, **fields):
        row = {"t": round(time.monotonic() - self.began, 2), "what": what}
        row.update(fields)
        self.record_file.write(json.dumps(row) + "\n")
        self.record_file.flush()

    def break_rule(self, rule, **fields):
        self.record("RULE BROKEN", rule=rule, **fields)
        self.broken.append(rule)

    def start_task(self, worker, key):
        others = self.on.setdefault(key[0], set())
        self.record("on", rig=worker.name, hand=key[0], attempt=key[1])
        if others - {worker.name}:
            self.break_rule("ran_twice", hand=key[0], rigs=sorted(others | {worker.name}))
        others.add(worker.name)
        self.starts[key[0]] = self.starts.get(key[0], 0) + 1

    async def open(self, labels, zones):
        for index, label in enumerate(labels):
            self.nodes.append(Node(self, index, label, zones[index % len(zones)]))
        for node in self.nodes:
            node.state_port = await self.store.listen(node.label)
            node.cloud_port = await self.cloud.listen(node.label)
        for node in self.nodes:
            node.write_settings(self.settings)
        self.spawn(self.store.expire())
        self.spawn(self.cloud.keep_history())

    async def close(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for task in self.background:
            task.cancel()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()

    async def wait_for(self, what, condition, within):
        until = time.monotonic() + within
        while not condition():
            for node in self.nodes:
                if node.process and node.process.returncode not in (None, -9):
                    raise CannotRun("%s ended with %s" % (node.label, node.process.returncode))
            if time.monotonic() > until:
                raise CannotRun("not within %s s: %s" % (within, what))
            await asyncio.sleep(0.05)
        self.record("reached", goal=what)

    async def wait_until_up(self, nodes=None, within=20):
        for node in nodes or self.nodes:
            until = time.monotonic() + within
            while (await node.ask("GET", "/up", timeout=1.0))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun("%s is not up" % node.label)
                await asyncio.sleep(0.1)
        self.record("reached", goal="up")

    def holder(self, partition=0):
        entry = self.store.keys.get("r/blocks/%d/holder" % partition)
        if entry is None:
            return None
        member = self.store.keys.get("r/members/" + entry[0]["holder"])
        if member is None or member[1] != entry[0]["incarnation"]:
            return None
        return next(n for n in self.nodes if n.label == entry[0]["holder"])

    def leader(self):
        entry = self.store.keys.get("r/leader")
        return entry and next(n for n in self.nodes if n.label == entry[0]["holder"])

    async def submit(self, job, run_s, node=None, within=30):
        """Submits a job as a user does, until it is accepted or refused for good."""
        self.jobs[job["id"]], self.run_s[job["id"]] = job, run_s
        until = time.monotonic() + within
        turn = random.randrange(len(self.nodes))
        while True:
            to = node or self.nodes[turn % len(self.nodes)]
            status, body = await to.ask("POST", "/v1/jobs", job, 5.0)
            self.record("submitted", id=job["id"], node=to.label, status=status, body=body)
            if status in (200, 201, 400, 422):
                return status
            if time.monotonic() > until:
                return None
            turn += 1
            await asyncio.sleep(1.0)

    async def poll(self, job_id, node=None, quiet=False):
        to = node or random.choice(self.nodes)
        status, body = await to.ask("GET", "/v1/jobs/" + job_id, None, 2.0)
        if not quiet:
            self.record("polled", id=job_id, node=to.label, status=status, body=body)
        return status, body


# ---------------------------------------------------------------- settings

def job(number, crew, hands, cores, mem, **fields):
    value = {"id": "j-%06d" % number, "lot": "reminder-send", "crew": crew, "form": "sweep",
             "rank": "standard", "hands": hands, "cores": cores, "cards": 0.0, "memGb": mem, "deck": "img-01",
             "sizeGb": 0.5, "builds": None, "yard": None, "oneZone": False, "apart": False, "loaners": True,
             "reckonS": 30.0, "markS": 0.0, "stowS": 0.0, "dueS": None}
    value.update(fields)
    return value


SANGRE_TYPES = [
    {"name": "colibri", "cores": 4.0, "cards": 0.0, "memGb": 16.0, "cacheGb": 80.0, "pullGbPerS": 0.5,
     "price": 0.25, "lowPrice": 0.06, "readyS": 35, "yards": ["escazu-rack", "heredia-dc"]},
    {"name": "jaguar", "cores": 16.0, "cards": 0.0, "memGb": 64.0, "cacheGb": 80.0, "pullGbPerS": 0.8,
     "price": 0.93, "lowPrice": 0.22, "readyS": 25, "yards": ["escazu-rack", "heredia-dc"]},
]


def sangre_settings():
    """The settings of the small deployment of Sangre Viva, as the brief and the deploy page give them."""
    return {
        "initial_size": 3,
        "zones": ["escazu-rack", "heredia-dc"],
        "teams": [{"name": "plataforma-%02d" % i, "cpus": 32.0, "cpus_max": 96.0, "gpus": 0.0, "gpus_max": 0.0}
                  for i in range(10)],
        "objectives": [
            {"kind": "wait", "class": "slot-match", "within_s": 20.0, "share": 0.96},
            {"kind": "deadline", "class": "reminder-send", "share": 0.9, "times": 1.0},
            {"kind": "guarantee", "within_s": 15.0, "share": 0.94},
        ],
        "workers": {"report_s": 3.0, "lease_s": 45.0, "gang_wait_s": 50.0, "gang_peer_s": 4.0, "cancel_s": 65.0},
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 48},
        "cloud": {"rps": 4.0, "list_lag_s": 6.0},
        "limits": {"cpu_share": 0.064, "ram_mb": 136.0, "sockets": 3000},
        "clock_off_ms": 25.0,
    }


def derwent_settings():
    """The settings of the small deployment of Derwent Vale, as the deploy page gives them."""
    value = sangre_settings()
    value.update({
        "zones": ["glenorchy-pump", "hobart-depot", "huonville-yard", "new-norfolk"],
        "teams": [{"name": "network-analytics-%02d" % i, "cpus": 32.0, "cpus_max": 96.0, "gpus": 0.0,
                   "gpus_max": 0.0} for i in range(10)],
        "objectives": [
            {"kind": "deadline", "class": "gauge-alerts", "share": 0.95, "times": 1.0},
            {"kind": "deadline", "class": "meter-reconcile", "share": 0.9, "times": 1.0},
            {"kind": "guarantee", "within_s": 10.0, "share": 0.88},
        ],
        "workers": {"report_s": 3.0, "lease_s": 29.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0, "cancel_s": 59.0},
        "state": {"rps": 150.0, "write_rps": 30.0, "value_kb": 32.0, "txn_ops": 16},
        "cloud": {"rps": 4.0, "list_lag_s": 4.0},
        "limits": {"cpu_share": 0.064, "ram_mb": 136.0, "sockets": 2500},
        "clock_off_ms": 5.0,
    })
    return value


DERWENT_TYPES = [
    {"name": name, "cores": cores, "cards": 0.0, "memGb": mem, "cacheGb": 80.0, "pullGbPerS": 0.5,
     "price": price, "lowPrice": low, "readyS": boot,
     "yards": ["glenorchy-pump", "hobart-depot", "huonville-yard", "new-norfolk"]}
    for name, cores, mem, price, low, boot in [
        ("kunanyi-small", 4.0, 16.0, 0.18, 0.06, 35),
        ("kunanyi-medium", 8.0, 32.0, 0.34, 0.1, 50),
        ("kunanyi-large", 16.0, 64.0, 0.73, 0.23, 25),
    ]
]


# ---------------------------------------------------------------- running a case

def main(case, make_world, labels, zones, deadline_s=117.0):
    """Runs a case: exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    path = os.environ.get("RECORD", os.path.join(here, "record.txt"))

    async def run():
        world = make_world(path)
        if not os.path.exists(os.path.join(ROOT, world.command[0])):
            raise CannotRun("%s is not built" % world.command[0])
        try:
            await world.open(labels, zones)
            await asyncio.wait_for(case(world, trouble), deadline_s)
            return 1 if world.broken else 0
        except (CannotRun, asyncio.TimeoutError) as error:
            if world.broken:
                return 1
            world.record("CANNOT RUN", error=repr(error))
            print("cannot run:", repr(error))
            return 2
        finally:
            world.record("end", broken=sorted(set(world.broken)))
            print("broken:", sorted(set(world.broken)))
            await world.close()

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: [t.cancel() for t in asyncio.all_tasks(loop)])
    try:
        code = loop.run_until_complete(run())
    except CannotRun as error:
        print("cannot run:", error)
        code = 2
    except asyncio.CancelledError:
        code = 2
    except Exception:  # An error of the stand-ins is no broken rule.
        traceback.print_exc()
        code = 2
    sys.exit(code)
