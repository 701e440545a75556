"""Stand-ins of the state service, the cloud, the workers and the users, as PROTOCOL has them.

All of them run in one process on loopback, on the real clock. Each controller has a port of
its own for the state service, so that a fault can be limited to one controller.
"""
import asyncio, json, os, random, shutil, signal, subprocess, sys, tempfile, time

NOW = time.monotonic
HANG = object()      # the request is never answered
RESET = object()     # the connection is closed without an answer


def free_port():
    import socket
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    port = s.getsockname()[1]
    s.close()
    return port


# ---------------------------------------------------------------- HTTP

async def read_message(reader, is_response):
    line = await reader.readline()
    if not line:
        raise ConnectionError("closed")
    first = line.decode("latin1").split()
    headers = {}
    while True:
        line = await reader.readline()
        if not line:
            raise ConnectionError("closed")
        if line in (b"\r\n", b"\n"):
            break
        k, _, v = line.decode("latin1").partition(":")
        headers[k.strip().lower()] = v.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        while True:
            n = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(n + 2)
            if n == 0:
                break
            body += part[:-2]
    return first, headers, body


class Server:
    """HTTP/1.1 server on loopback; `handler(method, path, body)` gives (status, object)."""

    def __init__(self, handler, port):
        self.handler, self.port, self.server = handler, port, None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", self.port,
                                                 backlog=1024, reuse_address=True)
        return self

    async def stop(self):
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader, False)
                answer = await self.handler(first[0], first[1], body)
                if answer is HANG:
                    await asyncio.sleep(3600)
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, obj = answer
                data = json.dumps(obj, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                             b"content-length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Client:
    """Keeps one connection to one address open between requests."""

    def __init__(self, port):
        self.port, self.conn = port, None

    def close(self):
        if self.conn:
            self.conn[1].transport.abort()
        self.conn = None

    async def request(self, method, path, body=None, timeout=5.0, headers=""):
        """(status, object), or None without an answer in time."""
        try:
            return await asyncio.wait_for(self._request(method, path, body, headers), timeout)
        except asyncio.CancelledError:
            self.close()
            raise
        except Exception:
            self.close()
            return None

    async def _request(self, method, path, body, extra):
        data = b"" if body is None else (body if isinstance(body, bytes)
                                         else json.dumps(body).encode())
        head = (f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1\r\n{extra}"
                f"content-length: {len(data)}\r\n\r\n").encode()
        reused = self.conn is not None
        for attempt in range(2):
            if self.conn is None:
                self.conn = await asyncio.open_connection("127.0.0.1", self.port)
            reader, writer = self.conn
            try:
                writer.write(head + data)
                await writer.drain()
                first, headers, answer = await read_message(reader, True)
                break
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                self.close()
                if not (reused and attempt == 0 and method == "GET"):
                    raise
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            obj = json.loads(answer) if answer else None
        except ValueError:
            obj = None
        return int(first[1]), obj


# ---------------------------------------------------------------- state service

class Store:
    def __init__(self, world):
        self.w = world
        self.data, self.epoch = {}, 1
        self.leases, self.next_lease = {}, 1
        self.history = []
        self.changed = asyncio.Event()
        self.down = False             # outage
        self.refuse = set()           # controllers that are refused
        self.mode = {}                # controller -> async hook(method, path, body) -> answer | None
        self.late_writes = 0.0        # share of transactions without an answer, applied later
        self.lost_answers = 0.0
        self.delay = {}               # controller -> seconds
        self.rate = {}

    def server(self, name):
        async def handler(method, path, body):
            return await self.handle(name, method, path, body)
        return handler

    def unavailable(self, name):
        return self.down or name in self.refuse

    def set_down(self, down):
        if self.down and not down:
            self.refresh_leases()
        self.down = down
        self.kick()

    def refresh_leases(self):
        for l in self.leases.values():
            l["until"] = NOW() + l["ttl"]

    def kick(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                self.refresh_leases()
                continue
            for i in [i for i, l in self.leases.items() if l["until"] < NOW() - 0.02]:
                self.end_lease(i)

    def end_lease(self, i):
        self.leases.pop(i, None)
        keys = [k for k, v in self.data.items() if v[2] == i]
        if keys:
            self.apply([{"remove": k} for k in keys])

    def apply(self, writes):
        self.epoch += 1
        for w in writes:
            if "set" in w:
                self.data[w["set"]] = (w["value"], self.epoch, w.get("permit"))
                self.history.append((self.epoch, {"set": w["set"], "value": w["value"], "stamp": self.epoch}))
            else:
                if self.data.pop(w["remove"], None) is not None:
                    self.history.append((self.epoch, {"remove": w["remove"], "stamp": self.epoch}))
        self.history = self.history[-10000:]
        self.kick()

    def transact(self, t):
        failed = [g["path"] for g in t.get("guards", [])
                  if self.data.get(g["path"], (0, 0, 0))[1] != g["stamp"]]
        for w in t.get("writes", []):
            if "set" in w and w.get("permit") is not None and w["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
            if "set" in w and len(json.dumps(w["value"])) > self.w.cfg["state"]["value_kb"] * 1024:
                return 400, {"error": "value too large"}
        if len(t.get("writes", [])) > self.w.cfg["state"]["txn_ops"]:
            return 400, {"error": "too many writes"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if t.get("writes"):
            self.apply(t["writes"])
        return 200, {"epoch": self.epoch}

    async def handle(self, name, method, path, body):
        hook = self.mode.get(name)
        if hook:
            answer = await hook(method, path, body)
            if answer is not None:
                return answer
        await asyncio.sleep(self.delay.get(name, 0.003))
        if path.startswith("/changes"):
            return await self.watch(name, path)
        if self.unavailable(name):
            return 503, {"error": "unavailable"}
        return await self.execute(name, method, path, body)

    async def execute(self, name, method, path, body):
        if path == "/multi":
            t = json.loads(body)
            if t.get("writes"):
                if random.random() < self.late_writes:
                    asyncio.get_running_loop().call_later(random.uniform(2, 12), lambda: self.transact(t))
                    return HANG
                answer = self.transact(t)
                if random.random() < self.lost_answers:
                    return HANG
                return answer
            return self.transact(t)
        if path.startswith("/store/"):
            key = path[len("/store/"):]
            v = self.data.get(key)
            if v is None:
                return 404, {"epoch": self.epoch}
            return 200, {"path": key, "value": v[0], "stamp": v[1], "permit": v[2]}
        if path.startswith("/store?"):
            q = query(path)
            prefix, since, page = q.get("starts", ""), q.get("since", ""), int(q.get("page", 200))
            keys = sorted(k for k in self.data if k.startswith(prefix) and k > since)
            rows = [{"path": k, "value": self.data[k][0], "stamp": self.data[k][1]} for k in keys[:min(page, 1000)]]
            return 200, {"rows": rows, "hasNext": len(keys) > len(rows), "epoch": self.epoch}
        if path == "/leases" and method == "POST":
            ttl = json.loads(body)["ttlMs"] / 1000
            i = self.next_lease
            self.next_lease += 1
            self.leases[i] = {"ttl": ttl, "until": NOW() + ttl}
            return 200, {"permit": i}
        if path.startswith("/leases/"):
            parts = path.split("/")
            i = int(parts[2])
            if i not in self.leases:
                return 404, {"epoch": self.epoch}
            if method == "DELETE":
                self.end_lease(i)
                return 200, {}
            self.leases[i]["until"] = NOW() + self.leases[i]["ttl"]
            return 200, {"permit": i}
        return 400, {"error": "malformed"}

    async def watch(self, name, path):
        q = query(path)
        prefix, since = q.get("starts", ""), int(q.get("since", 0))
        until = NOW() + min(int(q.get("blockMs", 0)), 60000) / 1000
        if self.unavailable(name):
            return 503, {"error": "unavailable"}
        while True:
            if not self.unavailable(name):
                if self.history and len(self.history) >= 10000 and self.history[0][0] > since + 1:
                    return 410, {"epoch": self.epoch}
                news = [e for r, e in self.history if r > since and
                        (e.get("set") or e.get("remove")).startswith(prefix)]
                if news or NOW() >= until:
                    return 200, {"epoch": self.epoch, "news": news}
            event = self.changed
            left = until - NOW()
            try:
                await asyncio.wait_for(event.wait(), max(0.02, left) if left > 0 else 0.25)
            except asyncio.TimeoutError:
                pass


def query(path):
    out = {}
    for part in path.partition("?")[2].split("&"):
        k, _, v = part.partition("=")
        out[k] = v
    return out


# ---------------------------------------------------------------- cloud

class Cloud:
    def __init__(self, world):
        self.w, self.bookings, self.down, self.n = world, {}, False, 230
        self.snapshots = []
        self.capacity = {}       # (build, site, spot) -> left
        self.hook = None

    def create(self, build, site, spot, booted=False):
        self.n += 1
        m = Machine(self.w, f"host-{self.n:06d}", build, site, spot)
        if booted:
            m.ready_at = NOW()
        else:
            m.ready_at = NOW() + self.w.types[build]["readyS"] * random.uniform(0.6, 1.5)
        self.w.machines[m.name] = m
        return m

    async def tick(self):
        while True:
            rows = []
            for m in list(self.w.machines.values()):
                if m.state == "booting" and NOW() >= m.ready_at:
                    await m.boot()
                if m.state == "booting" or m.state == "running" or m.state == "failed" or \
                        (m.state == "died" and NOW() - m.died_at < 30):
                    st = "running" if m.state == "died" else m.state
                    rows.append((m.name, m.port, m.build, m.site, m.spot, st, NOW() - m.rented_at))
                elif m.state == "died":
                    rows.append((m.name, m.port, m.build, m.site, m.spot, "failed", NOW() - m.rented_at))
            self.snapshots.append((NOW(), rows))
            self.snapshots = self.snapshots[-400:]
            await asyncio.sleep(0.1)

    async def handle(self, method, path, body):
        await asyncio.sleep(0.05)
        if self.hook:
            answer = await self.hook(method, path, body)
            if answer is not None:
                return answer
        if self.down:
            return 503, {"error": "trouble"}
        if path == "/catalog":
            return 200, {"builds": list(self.w.types.values())}
        if path.startswith("/machines?"):
            q = query(path)
            lag = self.w.cfg["cloud"]["list_lag_s"]
            rows = []
            for t, r in self.snapshots:
                if t <= NOW() - lag:
                    rows = r
            rows = [r for r in sorted(rows) if r[0] > q.get("since", "")]
            page = int(q.get("page", 500))
            return 200, {"benches": [{"nameId": r[0], "endpoint": f"127.0.0.1:{r[1]}", "build": r[2], "site": r[3],
                                      "borrowed": r[4], "status": r[5], "ageS": r[6]} for r in rows[:page]],
                         "hasNext": len(rows) > page}
        if path == "/machines":
            q = json.loads(body)
            if q["booking"] in self.bookings:
                return 200, {"benches": self.bookings[q["booking"]]}
            key = (q["build"], q["site"], q["borrowed"])
            n = min(q["howMany"], self.capacity.get(key, 0))
            if n <= 0:
                return 503, {"error": "no capacity"}
            self.capacity[key] -= n
            names = [self.create(*key).name for _ in range(n)]
            self.bookings[q["booking"]] = names
            self.w.note("rented", booking=q["booking"], kind=str(key), names=names)
            return 200, {"benches": names}
        if path == "/machines/return":
            names = json.loads(body)["benches"]
            for n in names:
                m = self.w.machines.get(n)
                if m and m.state != "gone":
                    await m.remove("gone")
                    key = (m.build, m.site, m.spot)
                    self.capacity[key] = self.capacity.get(key, 0) + 1
            self.w.note("returned", names=names)
            return 200, {}
        return 400, {"error": "malformed"}


# ---------------------------------------------------------------- workers

class Task:
    def __init__(self, piece, attempt, job):
        self.piece, self.attempt, self.job = piece, attempt, job
        self.state, self.cause, self.kept = "fetching", None, None
        self.ready_at = self.done_at = self.save_until = None
        self.on = False

    def report(self):
        r = {"piece": self.piece, "try": self.attempt, "status": self.state}
        if self.state == "ended":
            r["cause"] = self.cause
            if self.kept:
                r["kept"] = True
        return r


class Machine:
    def __init__(self, world, name, build, site, spot):
        self.w, self.name, self.build, self.site, self.spot = world, name, build, site, spot
        self.port, self.state, self.rented_at = free_port(), "booting", NOW()
        self.died_at = None
        self.cut = set()             # controllers that it can't reach; "*" for all
        self.hung = False
        self.hold_orders_until = 0.0 # direct commands wait until then, unanswered
        self.on_orders = None
        self.images, self.results = {}, {}
        self.server = None
        self.jobs_running = []
        self.node = random.randrange(len(world.names))
        self.reset_agent()

    def reset_agent(self):
        """A new agent process: session 1, no token, no tasks."""
        self.shift, self.tick_no, self.baton = 1, 0, 0
        self.tasks = {}
        self.lease_from = NOW()
        self.recall_at = None
        self.changed = False
        self.last_report_at = -1.0

    async def boot(self):
        self.state = "running"
        self.reset_agent()
        self.server = await Server(self.serve, self.port).start()
        self.jobs_running = [asyncio.ensure_future(self.report_loop()),
                             asyncio.ensure_future(self.step_loop())]
        self.w.note("machine up", machine=self.name)

    async def remove(self, state):
        for t in self.jobs_running:
            t.cancel()
        self.jobs_running = []
        if self.server:
            await self.server.stop()
        self.drop_all("machine " + state)
        self.state, self.died_at = state, NOW()

    async def restart(self, down_s=0.3):
        """The machine ends with all that is on it, and is back after `down_s`."""
        if self.state != "running":
            return
        self.w.note("machine restarts", machine=self.name)
        for t in self.jobs_running:
            t.cancel()
        await self.server.stop()
        self.drop_all("machine restarted")
        await asyncio.sleep(down_s)
        await self.boot()

    # -- tasks
    def drop_all(self, why):
        for t in list(self.tasks.values()):
            self.leave(t, why)
        self.tasks = {}

    def leave(self, t, why):
        if t.on:
            t.on = False
            self.w.task_off(self, t, why)

    def free(self):
        ty = self.w.types[self.build]
        c, g, m = ty["cores"], ty["gpus"], ty["memGb"]
        for t in self.tasks.values():
            if t.state != "ended":
                c -= t.job["cores"]; g -= t.job["gpus"]; m -= t.job["memGb"]
        return c, g, m

    def execute(self, orders, via):
        for o in orders:
            key = (o["piece"], o["try"])
            t = self.tasks.get(key)
            self.changed = True
            if o["verb"] == "start":
                if t:
                    continue
                job = self.w.jobs.get(o["piece"].rsplit("/", 1)[0])
                self.w.note("start", machine=self.name, piece=o["piece"], attempt=o["try"], via=via, shift=self.shift)
                t = Task(o["piece"], o["try"], job and job["spec"])
                self.tasks[key] = t
                if job is None or int(o["piece"].rsplit("/", 1)[1]) >= job["spec"]["pieces"]:
                    t.state, t.cause = "ended", "no_such"
                    if job is None:
                        self.w.broken("foreign", f"start of {o['piece']}, which nobody submitted")
                    continue
                if any(x.piece == t.piece and x.state != "ended" and x is not t for x in self.tasks.values()):
                    t.state, t.cause = "ended", "busy"
                    continue
                c, g, m = (a - b for a, b in zip(self.free(), (0, 0, 0)))
                if c < -1e-9 or g < -1e-9 or m < -1e-9:
                    t.state, t.cause = "ended", "no_room"
                    continue
                fetched = self.images.get(t.job["bundle"])
                if fetched is None:
                    fetched = NOW() + t.job["pullGb"] / self.w.types[self.build]["pullGbPerS"]
                    self.images[t.job["bundle"]] = fetched
                t.ready_at = max(NOW(), fetched)
            elif o["verb"] == "kill":
                if not t or t.state == "ended":
                    continue
                if t.state == "running" and t.job["snapshotEveryS"] > 0 and o["windDownS"] >= t.job["snapshotS"]:
                    t.state, t.save_until = "saving", NOW() + t.job["snapshotS"]
                elif t.state == "saving" and o["windDownS"] > 0:
                    continue
                else:
                    self.leave(t, "killed")
                    t.state, t.cause = "ended", "halted"
            elif o["verb"] == "clear":
                if t and t.state == "ended":
                    del self.tasks[key]
                    self.w.note("clear", machine=self.name, piece=o["piece"], attempt=o["try"])

    def step(self):
        now = NOW()
        if now - self.lease_from > self.w.cfg["workers"]["lease_s"]:
            self.w.note("lease over", machine=self.name, shift=self.shift, tasks=len(self.tasks))
            self.drop_all("lease over")
            self.shift += 1
            self.tick_no = 0
            self.lease_from = now
            self.changed = True
        for t in self.tasks.values():
            if t.state == "fetching" and t.ready_at is not None and now >= t.ready_at:
                t.state, t.on, self.changed = "running", True, True
                run_s = self.w.run_s(t)
                t.done_at = None if run_s is None else now + run_s
                self.w.task_on(self, t)
            if t.state == "running" and t.done_at is not None and now >= t.done_at:
                self.leave(t, "done")
                t.state, t.cause, self.changed = "ended", "done", True
                if t.job.get("_fails"):
                    t.cause = "error"
                else:
                    self.w.task_done(t)
            if t.state == "saving" and now >= t.save_until:
                self.leave(t, "saved")
                t.state, t.cause, t.kept, self.changed = "ended", "halted", True, True

    async def step_loop(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.hung:
                self.step()
            elif NOW() - self.lease_from > self.w.cfg["workers"]["lease_s"]:
                self.step()

    def body(self):
        self.tick_no += 1
        return {"bench": self.name, "endpoint": f"127.0.0.1:{self.port}", "build": self.build, "site": self.site,
                "borrowed": self.spot, "shift": self.shift, "tick": self.tick_no, "baton": self.baton,
                "recallS": None if self.recall_at is None else max(0.0, self.recall_at - NOW()),
                "pieces": [t.report() for t in self.tasks.values()]}

    # -- direct commands
    async def serve(self, method, path, body):
        while self.hung or NOW() < self.hold_orders_until:
            await asyncio.sleep(0.05)
        if path == "/status":
            return 200, self.body()
        if path != "/orders":
            return 404, {}
        q = json.loads(body)
        if self.on_orders:
            answer = await self.on_orders(self, q)
            if answer is not None:
                return answer
        return self.orders(q)

    def orders(self, q):
        if "baton" not in q or "shift" not in q:
            return 400, {}
        self.step()
        if q["baton"] < self.baton or q["shift"] != self.shift:
            self.w.note("orders refused", machine=self.name, baton=q["baton"], shift=q["shift"],
                        has=[self.baton, self.shift])
            return 409, self.body()
        if q["baton"] > self.baton:
            self.baton, self.changed = q["baton"], True
        self.execute(q["orders"], "orders")
        return 200, self.body()

    # -- reports
    async def report_loop(self):
        client, port = None, None
        due = NOW()
        wait_until = 0.0
        while True:
            await asyncio.sleep(0.05)
            now = NOW()
            if self.hung or now < wait_until or \
                    not (now >= due or (self.changed and now - self.last_report_at >= 0.5)):
                continue
            name = self.w.names[self.node % len(self.w.names)]
            node = self.w.nodes[name]
            if client is None or port != node.port:
                if client:
                    client.close()
                client, port = Client(node.port), node.port
            self.changed = False
            sent_at, shift = NOW(), self.shift
            self.last_report_at = sent_at
            due = sent_at + self.w.cfg["workers"]["report_s"] * random.uniform(0.75, 1.25)
            report = self.body()
            if self.w.on_report:
                self.w.on_report(self, report)
            if name in self.cut or "*" in self.cut:
                await asyncio.sleep(4.0)
                answer = None
            else:
                answer = await client.request("POST", "/checkin", report, 4.0)
            while self.hung:
                await asyncio.sleep(0.05)
            if answer is None or NOW() - sent_at > 4.0 or answer[0] not in (200, 421):
                self.node += 1
                wait_until = NOW() + 1.0
                due = wait_until
                continue
            status, obj = answer
            if status == 421:
                target = (obj or {}).get("foreman")
                client.close()
                if target in self.w.names and target != name:
                    self.node = self.w.names.index(target)
                    due = NOW()
                else:
                    self.node += 1
                    wait_until = NOW() + 1.0
                    due = wait_until
                continue
            if self.shift != shift or obj is None or obj.get("baton", 0) < self.baton:
                continue
            if obj["baton"] > self.baton:
                self.baton, self.changed = obj["baton"], True
            self.step()
            if self.shift != shift:
                continue
            self.lease_from = max(self.lease_from, sent_at)
            self.execute(obj.get("orders", []), "report")


# ---------------------------------------------------------------- controllers

class Node:
    def __init__(self, world, name):
        self.w, self.name = world, name
        self.port, self.back, self.store_port = free_port(), free_port(), free_port()
        self.proc = None
        self.log = None

    def settings(self):
        w = self.w
        return {"node_name": self.name, "area": "seoul-rack",
                "client_listen": f"127.0.0.1:{self.port}", "back": f"127.0.0.1:{self.back}",
                "seeds": [{"node_name": n.name, "area": "seoul-rack", "addr": f"127.0.0.1:{n.back}"}
                          for n in w.nodes.values() if n is not self],
                "services": {"cloud": f"127.0.0.1:{w.cloud_port}", "state": f"127.0.0.1:{self.store_port}"},
                "deployment": w.cfg}

    def start(self):
        path = os.path.join(self.w.tmp, self.name + ".json")
        with open(path, "w") as f:
            json.dump(self.settings(), f)
        self.log = open(os.path.join(self.w.tmp, self.name + ".log"), "ab")
        env = dict(os.environ, LOG_LEVEL=self.w.log_level)
        self.proc = subprocess.Popen(self.w.program + [path], cwd=self.w.root, env=env,
                                     stdout=self.log, stderr=self.log)
        self.w.note("controller started", node=self.name)

    def kill(self):
        if self.proc:
            self.w.note("controller killed", node=self.name)
            try:
                self.proc.send_signal(signal.SIGCONT)
            except OSError:
                pass
            self.proc.kill()
            self.proc.wait()
            self.proc = None

    def signal(self, sig):
        self.w.note("signal", node=self.name, signal=int(sig))
        self.proc.send_signal(sig)


# ---------------------------------------------------------------- everything

HANEUL = {
    "count": 3, "zones": ["cloud-gyeonggi", "daejeon-rack", "seoul-rack"],
    "teams": [{"name": "studio-ops", "cpus": 64.0, "cpus_max": 192.0, "gpus": 0.0, "gpus_max": 0.0},
              {"name": "media-eng", "cpus": 64.0, "cpus_max": 128.0, "gpus": 0.0, "gpus_max": 0.0},
              {"name": "campus-support", "cpus": 80.0, "cpus_max": 192.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [{"kind": "deadline", "class": "transcode-batch", "share": 0.85, "times": 1.0},
                   {"kind": "deadline", "class": "exam-rush", "share": 0.9, "times": 1.0},
                   {"kind": "guarantee", "within_s": 5.0, "share": 0.88}],
    "workers": {"report_s": 2.5, "lease_s": 18.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": 38.0},
    "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 32.0, "txn_ops": 32},
    "cloud": {"rps": 4.0, "list_lag_s": 4.0},
    "quota": {"cores": 0.048, "memory_mb": 104.0, "sockets": 1500}, "time_bound_ms": 100.0}

TYPES = {
    "small-box": {"name": "small-box", "cores": 4.0, "gpus": 0.0, "memGb": 32.0, "cacheGb": 80.0, "pullGbPerS": 0.8,
                  "rate": 0.31, "lowPrice": 0.11, "readyS": 25.0, "sites": ["seoul-rack", "daejeon-rack", "cloud-gyeonggi"]},
    "mid-box": {"name": "mid-box", "cores": 16.0, "gpus": 0.0, "memGb": 32.0, "cacheGb": 40.0, "pullGbPerS": 0.8,
                "rate": 0.93, "lowPrice": 0.34, "readyS": 35.0, "sites": ["seoul-rack", "daejeon-rack", "cloud-gyeonggi"]},
}


class World:
    def __init__(self, folder, cfg=None, types=None, nodes=3, log_level="info"):
        self.folder, self.cfg = folder, json.loads(json.dumps(cfg or HANEUL))
        self.types = json.loads(json.dumps(types or TYPES))
        self.cfg["count"] = nodes
        self.root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        deploy = open(os.path.join(self.root, "deploy", "service.toml")).read()
        run = [l.split("=", 1)[1].strip().strip('"') for l in deploy.splitlines() if l.startswith("run")][0]
        self.program = run.split()
        self.program[0] = os.path.join(self.root, self.program[0])
        if not os.access(self.program[0], os.X_OK):
            raise FileNotFoundError(self.program[0])
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.log_level = log_level
        self.t0 = NOW()
        self.record = open(os.path.join(folder, "record.txt"), "w") if folder else None
        self.names = [f"bench-{i}" for i in range(nodes)]
        self.nodes, self.machines, self.jobs = {}, {}, {}
        self.cloud_port = free_port()
        for n in self.names:
            self.nodes[n] = Node(self, n)
        self.store, self.cloud = Store(self), Cloud(self)
        self.on = {}                 # piece -> set of (machine, attempt)
        self.violations = []
        self.background = []
        self.on_report = None
        self.starts = []             # (time, machine, piece, attempt)

    def t(self):
        return NOW() - self.t0

    def note(self, event, **fields):
        if self.record:
            self.record.write(f"{self.t():8.3f} {event} " + " ".join(f"{k}={v}" for k, v in fields.items()) + "\n")
            self.record.flush()

    def broken(self, rule, text):
        self.violations.append((self.t(), rule, text))
        self.note("BROKEN " + rule, text=text)

    # -- what tasks do, and the rules about it
    def run_s(self, t):
        if t.piece in self.jobs[t.job["nameId"]]["done"]:
            return 0.0
        return t.job["_run_s"]

    def task_on(self, m, t):
        others = {x for x in self.on.get(t.piece, set()) if x[0] != m.name}
        job = self.jobs[t.job["nameId"]]
        self.note("on", machine=m.name, piece=t.piece, attempt=t.attempt)
        self.starts.append((self.t(), m.name, t.piece, t.attempt))
        if others:
            self.broken("ran_twice", f"{t.piece} starts on {m.name} (attempt {t.attempt}) while on {others}")
        self.on.setdefault(t.piece, set()).add((m.name, t.attempt))
        spec = t.job
        if spec.get("builds") and m.build not in spec["builds"] or spec.get("site") not in (None, m.site) \
                or (m.spot and not spec["borrowed"]):
            self.broken("wrong_place", f"{t.piece} on {m.name}: {m.build} {m.site} spot={m.spot}")
        zones = {}
        for p, places in self.on.items():
            if p.rsplit("/", 1)[0] == spec["nameId"]:
                for mm, _ in places:
                    z = self.machines[mm].site
                    zones[z] = zones.get(z, 0) + 1
        if spec["oneZone"] and len(zones) > 1:
            self.broken("wrong_place", f"{t.piece}: oneZone, but {zones}")
        if spec["spread"] and zones.get(m.site, 0) > -(-spec["pieces"] // 2):
            self.broken("wrong_place", f"{t.piece}: spread, but {zones}")
        self.check_quota(spec["owner"])
        told = job.get("cancelled_at")
        if told is not None and NOW() - told > self.cfg["workers"]["cancel_s"]:
            self.broken("ran_cancelled", f"{t.piece} starts on {m.name} {NOW() - told:.1f} s after the cancellation")

    def check_quota(self, team):
        limit = next(x for x in self.cfg["teams"] if x["name"] == team)["cpus_max"] or 1e18
        used = sum(self.jobs[p.rsplit("/", 1)[0]]["spec"]["cores"] * len(places) for p, places in self.on.items()
                   if places and self.jobs[p.rsplit("/", 1)[0]]["spec"]["owner"] == team)
        if used > limit + 1e-6:
            self.broken("quota", f"{team} uses {used} of {limit}")

    def task_off(self, m, t, why):
        self.on.get(t.piece, set()).discard((m.name, t.attempt))
        self.note("off", machine=m.name, piece=t.piece, attempt=t.attempt, why=why)

    def task_done(self, t):
        self.jobs[t.job["nameId"]]["done"].add(t.piece)
        j = self.jobs[t.job["nameId"]]
        if len(j["done"]) == t.job["pieces"]:
            j.setdefault("all_done_at", NOW())

    async def check_loop(self):
        while True:
            await asyncio.sleep(0.25)
            for piece, places in self.on.items():
                if not places:
                    continue
                j = self.jobs[piece.rsplit("/", 1)[0]]
                told = j.get("cancelled_at")
                if told is not None and NOW() - told > self.cfg["workers"]["cancel_s"] and not j.get("late"):
                    j["late"] = True
                    self.broken("ran_cancelled", f"{piece} is on {places} {NOW() - told:.1f} s after the cancellation")

    # -- users
    def spec(self, number, **fields):
        s = {"nameId": f"req-{number:06d}", "workload": "exam-rush", "owner": "studio-ops", "shape": "array",
             "urgency": "normal", "pieces": 1, "cores": 1.0, "gpus": 0.0, "memGb": 1.0, "bundle": "img-01",
             "pullGb": 0.2, "builds": None, "site": None, "oneZone": False, "spread": False, "borrowed": True,
             "expectedS": 10.0, "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": None, "_run_s": 10.0}
        s.update(fields)
        return s

    def wire(self, spec):
        return {k: v for k, v in spec.items() if not k.startswith("_")}

    def known(self, spec):
        return self.jobs.setdefault(spec["nameId"], {"spec": spec, "done": set()})

    def judge(self, job_id, asked_at, asked_known, status, obj):
        """Checks one answer about a job against what was said before it was asked for."""
        j = self.jobs.get(job_id)
        if status == 404:
            if j and j.get("accepted_at") is not None and j["accepted_at"] <= asked_at:
                self.broken("forgotten", f"{job_id}: 404 after it was accepted")
            return
        if status not in (200, 201):
            return
        if j is None:
            self.broken("invented", f"{job_id}: {status} {obj}")
            return
        said = (obj or {}).get("status")
        if (obj or {}).get("nameId") != job_id:
            self.broken("foreign", f"asked for {job_id}, answered {obj}")
        final = j.get("final")
        if final and final[1] <= asked_at and said != final[0]:
            self.broken("went_back", f"{job_id}: {said} after {final[0]}")
        if final and said in ("done", "cancelled") and said != final[0]:
            self.broken("went_back", f"{job_id}: {said} and {final[0]}")
        if said == "done" and len(j["done"]) < j["spec"]["pieces"]:
            self.broken("not_done", f"{job_id}: done with {len(j['done'])} of {j['spec']['pieces']} tasks")
        if said == "cancelled" and not j.get("abort_sent"):
            self.broken("went_back", f"{job_id}: cancelled, but its user did not cancel")
        if said in ("done", "cancelled") and not final:
            j["final"] = (said, NOW())
            if said == "cancelled":
                j["cancelled_at"] = NOW()

    async def ask(self, node, method, path, job_id, body=None, timeout=5.0):
        """One request on a new connection; the answer is judged."""
        asked = NOW()
        c = Client(self.nodes[node].port)
        answer = await c.request(method, path, body, timeout)
        c.close()
        self.note("asked", node=node, what=f"{method} {path} {job_id}", answer=answer)
        if answer:
            self.judge(job_id, asked, None, *answer)
            j = self.jobs.get(job_id)
            if j and method == "POST" and path == "/work" and answer[0] in (200, 201):
                j.setdefault("accepted_at", NOW())
            if j and j.get("accepted_at") is not None and j["accepted_at"] <= asked and answer[0] in (400, 422) \
                    and path == "/work":
                self.broken("forgotten", f"{job_id}: repeated submission {answer[0]}")
        return answer

    def some_node(self, nodes=None):
        alive = [n for n in (nodes or self.names) if self.nodes[n].proc]
        return random.choice(alive or self.names)

    async def submit(self, spec, nodes=None, for_s=60.0):
        self.known(spec)
        until = NOW() + for_s
        while NOW() < until:
            a = await self.ask(self.some_node(nodes), "POST", "/work", spec["nameId"], self.wire(spec))
            if a and a[0] in (200, 201, 400, 422):
                return a
            await asyncio.sleep(1.0)
        return None

    async def cancel(self, job_id, nodes=None, for_s=60.0):
        until = NOW() + for_s
        self.jobs[job_id]["abort_sent"] = True
        while NOW() < until:
            a = await self.ask(self.some_node(nodes), "POST", f"/work/{job_id}/abort", job_id)
            if a and a[0] == 200:
                return a
            await asyncio.sleep(1.0)
        return None

    async def poll(self, job_id, nodes=None):
        return await self.ask(self.some_node(nodes), "GET", f"/work/{job_id}", job_id, timeout=2.0)

    # -- start and end
    async def start(self, machines=()):
        for n in self.nodes.values():
            await Server(self.store.server(n.name), n.store_port).start()
        await Server(self.cloud.handle, self.cloud_port).start()
        self.background = [asyncio.ensure_future(c) for c in
                           (self.store.tick(), self.cloud.tick(), self.check_loop())]
        for build, site, spot in machines:
            await self.cloud.create(build, site, spot, booted=True).boot()
        for n in self.nodes.values():
            n.start()

    async def wait_ready(self, for_s=30.0):
        until = NOW() + for_s
        while NOW() < until:
            if self.leader() and all([(await Client(n.port).request("GET", "/ready", None, 1.0) or (0,))[0] == 200
                                      for n in self.nodes.values()]):
                return True
            await asyncio.sleep(0.3)
        return False

    def leader(self):
        v = self.store.data.get("t/leader")
        return v[0]["node"] if v else None

    async def until(self, condition, for_s, step=0.1):
        end = NOW() + for_s
        while NOW() < end:
            if condition():
                return True
            await asyncio.sleep(step)
        return False

    def close(self):
        for n in self.nodes.values():
            n.kill()
            if n.log:
                n.log.close()

    def cleanup(self):
        shutil.rmtree(self.tmp, ignore_errors=True)

AKWAABA = {
    "count": 3, "zones": ["accra-room", "kumasi-room"],
    "teams": [{"name": f"payroll-ops-{i}", "cpus": 72.0, "cpus_max": 200.0, "gpus": 0.0, "gpus_max": 0.0}
              for i in range(1, 17)],
    "objectives": [{"kind": "finished", "class": "monthly-run", "within_s": 200.0, "share": 0.7, "times": 1.0},
                   {"kind": "deadline", "class": "month-end-rush", "share": 0.96, "times": 1.0},
                   {"kind": "deadline", "class": "correction-run", "share": 0.97, "times": 1.0},
                   {"kind": "guarantee", "within_s": 5.0, "share": 0.94}],
    "workers": {"report_s": 3.0, "lease_s": 26.0, "gang_wait_s": 35.0, "gang_peer_s": 5.0, "cancel_s": 51.0},
    "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24},
    "cloud": {"rps": 8.0, "list_lag_s": 5.0},
    "quota": {"cores": 0.16, "memory_mb": 136.0, "sockets": 2500}, "time_bound_ms": 5.0}

BUREAU = {"bureau-node": {"name": "bureau-node", "cores": 32.0, "gpus": 0.0, "memGb": 128.0, "cacheGb": 40.0,
                          "pullGbPerS": 0.2, "rate": 2.09, "lowPrice": 0.79, "readyS": 35.0,
                          "sites": ["accra-room", "kumasi-room"]}}

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_case(case, make_world):
    """Runs `case(world)`, which gives the exit code; ends all processes that were started."""
    world = None

    async def main():
        nonlocal world
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        world = make_world()
        return await case(world)

    def stop(*_):
        raise SystemExit("stopped by a signal")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    code = 2
    try:
        code = asyncio.run(asyncio.wait_for(main(), 115))
    except BaseException as error:        # also a signal: the processes must end
        if world:
            world.note("couldn't run", error=repr(error))
        print("couldn't run:", repr(error))
    finally:
        if world:
            for violation in world.violations:
                print("rule broken: %.1f s, %s: %s" % violation)
            world.note("exit", code=code)
            world.close()
            if not os.environ.get("KEEP_LOGS"):
                world.cleanup()
            else:
                print("logs:", world.tmp)
    sys.stdout.flush()
    os._exit(code)
