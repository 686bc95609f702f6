"""Stand-ins for a review case: store, workers, machines service and clients, on loopback.

Explanation
-----------
All of them follow PROTOCOL.md; where that page is silent they do the simplest sound thing.  Only
the standard library is used.  The programs of the project run as separate processes with the
command of deploy/system.toml.  Everything that is sent, answered or run goes into ``record.txt``.
"""

import base64
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME, PREFIX, QUEUE, TENANT, KEY = "jobs.example", "/q/", "queue", "tenant", "key-1"
SERVICE, SPARE = "service", "spare"
MAX_RECORD_BYTES = 262_144
STOP_MS, MAX_HOLD_MS, HEARTBEAT_S, MAINTENANCE_S, MIGRATE_S = 400, 6_000, 1.5, 2.0, 1.5
TICK_S = 0.02
LONGEST_S = 110
BOUNDS = {
    "contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 6, "config-apply-ms": 2000,
    "max-stretch-ms": 5000, "max-hold-ms": MAX_HOLD_MS, "stop-ms": STOP_MS, "gang-wait-ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "checkpoint-s": 2, "restore-ms": 600, "notice-ms": 4500, "migrate-s": MIGRATE_S,
    "maintenance-s": MAINTENANCE_S, "require-fencing": True, "lease-ms": 3000, "pace-ms": 100,
    "impact-ms": 4000, "quota-overage": 0.1, "recovery-s": 12, "far-factor": 3,
}  # fmt: skip


class CannotRunError(Exception):
    """The case could not be run."""


class Recorder:
    """Writes what happens to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)  # noqa: SIM115
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    @property
    def now_s(self):
        """Seconds since the case began."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line with the time since the case began."""
        with self._lock:
            self._file.write(f"{self.now_s:8.3f}  {text}\n")


def serve(host, handle, port=0):
    """Serve ``handle(method, path, query, headers, body)`` -> (status, bytes) on a free port.

    The handler may return None: the connection is then closed without an answer.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _serve(self):
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length) if length else b""
            path, _, query = self.path.partition("?")
            pairs = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            answer = handle(self.command, path, pairs, self.headers, body)
            if answer is None:
                self.close_connection = True
                return
            status, content = answer
            self.send_response_only(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)
            self.wfile.flush()

        do_GET = do_POST = do_DELETE = _serve

        def log_message(self, *_arguments):
            """Write nothing to standard error."""

    class Server(ThreadingHTTPServer):
        request_queue_size = 512
        daemon_threads = True

        def handle_error(self, *_arguments):
            """Ignore connections that their clients have broken."""

    server = Server((host, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, f"{host}:{server.server_address[1]}"


def reply(status=200, **fields):
    """Return an answer with a JSON body."""
    return status, json.dumps(fields).encode()


class Store:
    """The platform's store: a log of keyed topics with one partition each."""

    def __init__(self, host, recorder):
        self._recorder = recorder
        self._topics = {}
        self._producers = {}
        self._changed = threading.Condition()
        self.refused_sizes = []
        self._server, self.address = serve(host, self.handle)

    def put(self, topic, key, value):
        """Append a record as the operator or a worker does; None drops the key."""
        content = b"" if value is None else json.dumps(value).encode()
        with self._changed:
            self._topics.setdefault(topic, []).append((key, content))
            self._changed.notify_all()

    def newest(self, topic):
        """Return the newest value of each key that has one."""
        with self._changed:
            newest = dict(self._topics.get(topic, []))
        return {key: value for key, value in newest.items() if value}

    def handle(self, method, path, query, _headers, body):
        """Answer a call."""
        if path == "/almondstack/log-append":
            return self._append(query, body)
        if path == "/almondstack/log-read":
            return self._read(query)
        if path == "/almondstack/log-newest":
            return self._newest(query)
        return reply(404)

    def _append(self, query, body):
        records, position = [], 0
        while position < len(body):
            size = int.from_bytes(body[position : position + 4], "big")
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            if len(content) > MAX_RECORD_BYTES:
                self.refused_sizes.append(len(content))
                self._recorder.write(f"store: refuses a record of {len(content)} bytes with 413")
                return reply(413)
            records.append((content[1 : 1 + content[0]].decode(), content[1 + content[0] :]))
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return reply(403)
        with self._changed:
            log = self._topics.setdefault(query["topic"], [])
            end = len(log)
            if "producer-id" in query:
                known = (query["topic"], query["producer-id"])
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                seen_epoch, last, kept = self._producers.get(known, (-1, -1, {}))
                if epoch < seen_epoch:
                    return reply(409, reason="fenced", **{"end-offset": end})
                if epoch == seen_epoch and sequence in kept:
                    return reply(200, **kept[sequence])
                if epoch == seen_epoch and sequence != last + 1:
                    return reply(409, reason="seq", **{"end-offset": end})
                kept = {} if epoch != seen_epoch else kept
            if "at" in query and int(query["at"]) != end:
                return reply(412, **{"end-offset": end})
            log.extend(records)
            answer = {"offset": end, "end-offset": len(log)}
            if "producer-id" in query:
                kept = {number: old for number, old in kept.items() if number > sequence - 5}
                self._producers[known] = (epoch, sequence, {**kept, sequence: answer})
            self._changed.notify_all()
            return reply(200, **answer)

    def _read(self, query):
        first = int(query["from"])
        until_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        left = int(query.get("max-kb", 1024)) * 1024
        with self._changed:
            while len(self._topics.get(query["topic"], ())) <= first:
                if not self._changed.wait(until_s - time.monotonic()):
                    break
            log = self._topics.get(query["topic"], [])
            body = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in log[first:]:
                content = bytes((len(key),)) + key.encode() + value
                if len(body) > 16 and len(body) + len(content) > left:
                    break
                body += len(content).to_bytes(4, "big") + content
        return 200, body

    def _newest(self, query):
        with self._changed:
            end = len(self._topics.get(query["topic"], []))
            newest = self.newest_locked(query["topic"])
        keys = sorted(key for key in newest if key > query.get("after", ""))
        items = [
            {"key": key, "value": base64.b64encode(newest[key]).decode(), "offset": 0}
            for key in keys[:500]
        ]
        return reply(200, items=items, **{"has-more": len(keys) > 500, "end-offset": end})

    def newest_locked(self, topic):
        """Return the newest values; call it with the lock held."""
        newest = dict(self._topics.get(topic, []))
        return {key: value for key, value in newest.items() if value}


class Task:
    """A run on a worker."""

    def __init__(self, name, run, step, due_s, checkpoint):
        self.name, self.run, self.step, self.due_s = name, run, step, due_s
        self.checkpoint = checkpoint


class Worker:
    """One life of a machine."""

    def __init__(self, world, name, id=None, port=0):
        self.world = world
        self.id = id or f"{name}-{random.randrange(16**6):06x}"
        self.born = int(time.time() * 1000)
        self._began_s = time.monotonic()
        self.machine = name
        self.capacity = dict(world.capacity)
        self.lock = threading.Condition()
        self.running, self.ended, self._bars = {}, [], {}
        self._stopping = {}
        self._end_count = 0
        self._fence = 0
        self._lease_ms = 0
        self._sequence = 0
        self.is_gone = False
        self.state = "ready"
        self._server, self.address = serve(world.host, self.handle, port)

    @property
    def clock_ms(self):
        """The worker's own clock."""
        return int((time.monotonic() - self._began_s) * 1000) + 1_000

    def register(self):
        """Write the entry of the worker to the store, unless its machine was taken away."""
        pool = self.world.pools.get(self.machine)
        if pool is None:
            return
        self._sequence += 1
        entry = {
            "service": pool, "address": self.address, "zone": "a",
            "version": "v1", "slots": 8, "state": self.state, "cold-left-ms": 0,
            "sequence": self._sequence, "labels": ["a", "r1"], "capacity": self.capacity,
            "clock-ms": self.clock_ms, "born": self.born,
        }  # fmt: skip
        self.world.store.put("keyed.servers", self.id, entry)

    def leave(self):
        """End this life with everything that runs."""
        with self.lock:
            self.is_gone = True
            names = [task.name for task in self.running.values()]
            self.running.clear()
            self.lock.notify_all()
        if names:
            self.world.recorder.write(f"worker {self.id}: ends with {names[:5]} running")
        self._server.shutdown()
        self._server.server_close()

    def handle(self, _method, path, _query, headers, body):
        """Answer a call."""
        if self.is_gone:
            return None
        time.sleep(self.world.link_s)
        if headers.get("X-Expect-Instance", self.id) != self.id:
            return reply(421)
        if path.endswith("/health"):
            return reply(200)
        fields = json.loads(body)
        with self.lock:
            token = fields.get("fencing-token", 0)
            if token < self._fence:
                return reply(409, reason="fence", **{"clock-ms": self.clock_ms})
            self._fence = token
            if path == "/almondstack/run-start":
                return self._start(fields)
            if path == "/almondstack/run-stop":
                return self._stop(fields)
            if path == "/almondstack/pace":
                return reply(200, **{"clock-ms": self.clock_ms})
            if path == "/almondstack/hold":
                return self._hold(fields)
        return reply(404)

    def tick(self):
        """End the runs that are due, stopped or without a lease."""
        now_s = time.monotonic()
        with self.lock:
            if self.clock_ms > self._lease_ms:
                for name in list(self.running):
                    self._end(name, "lapsed")
            for name, due_s in list(self._stopping.items()):
                if due_s <= now_s:
                    del self._stopping[name]
                    if name in self.running:
                        self._end(name, "stopped")
            for name, task in list(self.running.items()):
                if task.due_s <= now_s:
                    self._end(name, "done")

    def used(self):
        """Return the thousandths of a core in use."""
        return sum(task.step.get("cpu", 0) for task in self.running.values())

    def _lengthen(self, fields):
        deadline = min(fields.get("deadline-ms", 0), self.clock_ms + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, deadline)

    def _start(self, fields):
        name, run = fields["task"], fields["run"]
        clock = {"clock-ms": self.clock_ms}
        if fields["deadline-ms"] <= self.clock_ms:
            return reply(409, reason="late", **clock)
        self._lengthen(fields)
        if name in self.running and self.running[name].run == run:
            return reply(200, **clock)
        if run <= self._bars.get(name, 0) or name in self.running:
            return reply(409, reason="old", **clock)
        step = self.world.step_of(name)
        if step is None:
            self.world.recorder.write(f"worker {self.id}: start of unknown {name} run {run}")
            return reply(400, **clock)
        room = self.capacity["cpu"] - self.used()
        if step.get("cpu", 0) > room:
            return reply(409, reason="room", **clock)
        due_s = time.monotonic() + self.world.run_s(step)
        self.running[name] = Task(name, run, step, due_s, fields.get("checkpoint", ""))
        self.world.note_start(self, name, run)
        return reply(200, **clock)

    def _stop(self, fields):
        name, run = fields["task"], fields["run"]
        self._bars[name] = max(run, self._bars.get(name, 0))
        if name in self.running and self.running[name].run <= run:
            self._stopping[name] = time.monotonic() + STOP_MS / 2000
        return reply(200, **{"clock-ms": self.clock_ms})

    def _hold(self, fields):
        self._lengthen(fields)
        seen = fields.get("last-seen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        until_s = time.monotonic() + fields.get("wait-ms", 0) / 1000
        while not self.ended and not self.is_gone:
            if not self.lock.wait(until_s - time.monotonic()):
                break
        if self.is_gone:
            return None
        running = [
            [task.name, task.run, self.world.checkpoint_of(task), 100, task.step.get("cpu", 0)]
            for task in self.running.values()
        ]
        lists = {"running": running, "ended": self.ended[:500], "born": self.born}
        return reply(200, **{"clock-ms": self.clock_ms}, **lists)

    def _end(self, name, how):
        task = self.running.pop(name)
        self._end_count += 1
        self._bars[name] = max(task.run, self._bars.get(name, 0))
        saved = self.world.checkpoint_of(task) if how != "done" else ""
        self.ended.append([self._end_count, name, task.run, how, saved])
        self.world.note_end(self, name, task.run, how)
        self.lock.notify_all()


class World:
    """Everything around the program: store, workers, machines service and clients.

    Parameters
    ----------
    folder : Path
        Folder of the case, for ``record.txt``.
    machines : int
        Machines of the service, each with a worker.
    capacity : dict
        Capacity of each worker.
    route : dict, optional
        Changes of the route's fields.
    spares : int
        Further machines in the spare pool.

    Attributes
    ----------
    link_s : float
        Time that each call to a worker takes on its way, in seconds.
    log_runs : bool
        Whether each start and end is recorded.
    """

    def __init__(self, folder, machines=4, capacity=None, route=None, spares=0):
        self.recorder = Recorder(folder / "record.txt")
        self.host = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}.1"
        self.capacity = capacity or {"cpu": 16_000, "mem-mb": 65_536, "gpus": 0}
        self.store = Store(self.host, self.recorder)
        self.jobs = {}
        self.lock = threading.Lock()
        self.starts, self.ends = {}, {}
        self.log_runs = True
        self.link_s = 0.0
        self.pools, self.workers, self.states = {}, {}, {}
        self.waves, self.upkeeps, self._fences = {}, [], {}
        for number in range(machines + spares):
            name = f"m-{number:02d}"
            self.pools[name] = SERVICE if number < machines else SPARE
            self.states[name] = "up"
            self.workers[name] = self.make_worker(name)
        self._server, self.cloud_address = serve(self.host, self.handle_cloud)
        self.processes, self.ends_by_itself = {}, []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self._settings, self.fronts, self._readies = {}, {}, {}
        self._is_closed = threading.Event()
        fields = {
            "name": QUEUE, "host": HOST_NAME, "path-prefix": PREFIX, "service": SERVICE,
            "timeout-ms": 3000, "target-latency-ms": 600, "priority": 0, "max-attempts": 3,
            "stretch": 1.6, **(route or {}),
        }  # fmt: skip
        configuration = {
            "version": 3,
            "routes": [fields],
            "services": [{"name": SERVICE}, {"name": SPARE, "standby": True}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144},
            "tenants": [{"name": TENANT, "weight": 1.0, "api-keys": [KEY]}],
        }
        self.store.put("keyed.op", "config", configuration)
        for worker in self.workers.values():
            worker.register()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        beat_s = time.monotonic()
        while not self._is_closed.wait(TICK_S):
            for worker in list(self.workers.values()):
                if worker is not None:
                    worker.tick()
            if time.monotonic() - beat_s >= HEARTBEAT_S:
                beat_s = time.monotonic()
                for worker in list(self.workers.values()):
                    if worker is not None and not worker.is_gone:
                        worker.register()

    def make_worker(self, name):
        """Return a new worker on a machine."""
        return Worker(self, name)

    # Tasks

    def step_of(self, name):
        """Return the step of a task of a job that some client has sent."""
        job, _, step, _ = name.split(".")
        found = self.jobs.get(job)
        return found["steps"][int(step)] if found is not None else None

    def run_s(self, step):
        """Return how long a task of a step takes, in seconds."""
        if step.get("long-running"):
            return float("inf")
        return step.get("estimate-ms", 1000) / 1000

    def checkpoint_of(self, task):
        """Return the newest checkpoint of a run."""
        return task.checkpoint

    def note_start(self, worker, name, run):
        """Record a start."""
        with self.lock:
            self.starts.setdefault(name, []).append((self.recorder.now_s, run, worker.id))
        if self.log_runs:
            self.recorder.write(f"worker {worker.id}: starts {name} run {run}")

    def note_end(self, worker, name, run, how):
        """Record an end."""
        with self.lock:
            self.ends.setdefault(name, []).append((self.recorder.now_s, run, how))
        if self.log_runs:
            self.recorder.write(f"worker {worker.id}: {name} run {run} ends {how}")

    def started_tasks(self, job):
        """Return how many tasks of a job were started."""
        with self.lock:
            return sum(name.startswith(job + ".") for name in self.starts)

    def done_tasks(self, job):
        """Return how many tasks of a job have ended as done."""
        with self.lock:
            ends = [ends for name, ends in self.ends.items() if name.startswith(job + ".")]
            return sum(any(how == "done" for _, _, how in found) for found in ends)

    def used_cpu(self):
        """Return the thousandths of a core in use on all workers, and how many there are."""
        workers = [worker for worker in self.workers.values() if worker is not None]
        return sum(w.used() for w in workers), sum(w.capacity["cpu"] for w in workers)

    # Machines service

    def request_wave(self, number, machines, duration_s, maximum):
        """Write the operator's request of a wave."""
        self.waves[number] = set(machines)
        request = {
            "wave": number, "machines": list(machines), "duration-s": duration_s,
            "maximum": maximum,
        }  # fmt: skip
        self.recorder.write(f"operator: op/wave/{number} {json.dumps(request)}")
        self.store.put("keyed.op", f"wave/{number}", request)

    def wave_state(self, number):
        """Return what the system says of a wave."""
        value = self.store.newest("keyed.status").get(f"wave/{number}")
        return json.loads(value).get("state") if value else None

    def handle_cloud(self, method, path, query, headers, body):
        """Answer a call of the machines service."""
        if path == "/almondstack/machines":
            with self.lock:
                rows = [self._row(name) for name in self.pools]
            return reply(200, machines=rows)
        fields = json.loads(body)
        name, token = fields.get("machine"), int(headers.get("X-Fencing-Token", 0))
        with self.lock:
            answer = self._order(path, name, token, fields)
        self.recorder.write(
            f"machines: {path.rpartition('/')[2]} {json.dumps(fields)} "
            f"holder {headers.get('X-Lease-Holder')} token {token} -> {answer[0]} "
            f"{answer[1].decode()}"
        )
        return answer

    def _row(self, name):
        worker = self.workers[name]
        row = {
            "machine": name, "pool": self.pools[name], "state": self.states[name], "zone": "a",
            "labels": ["a", "r1"], "capacity": self.capacity,
        }  # fmt: skip
        return {**row, "id": worker.id} if worker is not None else row

    def _order(self, path, name, token, fields):
        if name not in self.pools:
            return reply(400)
        if token < self._fences.get(name, 0):
            return reply(409, reason="fence")
        self._fences[name] = token
        if path == "/almondstack/machine-move":
            if fields["pool"] not in (SERVICE, SPARE):
                return reply(400)
            if self.pools[name] == fields["pool"]:
                return reply(200)
            if self.states[name] != "up":
                return reply(409, reason="busy")
            self.pools[name] = fields["pool"]
            self._take_down(name, "moving", MIGRATE_S)
            return reply(200)
        wave = fields["wave"]
        if name not in self.waves.get(wave, ()):
            return reply(409, reason="wave")
        if any(done == (wave, name) for done, _, _ in self.upkeeps):
            return reply(200)
        if self.states[name] != "up":
            return reply(409, reason="busy")
        now_s = self.recorder.now_s
        self.upkeeps.append(((wave, name), now_s, now_s + MAINTENANCE_S))
        self._take_down(name, "upkeep", MAINTENANCE_S)
        return reply(200)

    def _take_down(self, name, state, span_s):
        worker, self.workers[name] = self.workers[name], None
        self.states[name] = state
        threading.Thread(target=worker.leave, daemon=True).start()
        self.store.put("keyed.servers", worker.id, None)
        threading.Timer(span_s, self._bring_up, (name,)).start()

    def _bring_up(self, name):
        worker = self.make_worker(name)
        with self.lock:
            if name not in self.pools:
                return
            self.workers[name] = worker
            self.states[name] = "up"
        worker.register()

    # Processes of the project

    def start_processes(self, count):
        """Start the program of the deploy file on some machines; wait until all are ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file")
        base = self.host.rpartition(".")[0]
        for number in range(count):
            name, ip = f"edge-{number}", f"{base}.{number + 2}"
            front, ready, ports = _free_ports(ip)
            self.fronts[name], self._readies[name] = f"{ip}:{front}", f"{ip}:{ready}"
            settings = {
                "node-name": name, "role": "almondstack", "machine-class": "edge",
                "serves": ["edge"], "ip": ip, "zone": "a", "region": "r", "zones": {"a": "r"},
                "listen": {"front": self.fronts[name], "ready": self._readies[name]},
                "port-range": [ports, ports + 15], "bootstrap": True, "loss-counts": False,
                "limits": {
                    "cpu-share": 1.0, "cores": 1, "memory-mb": 300, "max-fds": 4100,
                    "link-mbps": 1000.0, "disk-mb": 0,
                },
                "heartbeat-ms": int(HEARTBEAT_S * 1000), "bounds": BOUNDS, "orders": "call",
                "platform": {
                    "address": self.store.address, "form": "log", "writes-per-s": 600,
                    "reads-per-s": 2000, "parts": 24, "max-record-bytes": MAX_RECORD_BYTES,
                    "max-call-bytes": 2_097_152, "keep_s": 300, "partition-mb": 200,
                },
                "cloud-api": {
                    "address": self.cloud_address, "rate-per-s": 64.0, "duties-per-s": 64.0,
                },
            }  # fmt: skip
            path = Path(self._temporary.name) / f"{name}.yaml"
            path.write_text(json.dumps(settings, indent=1))
            self._settings[name] = path
            self.start_process(name)
        deadline_s = time.monotonic() + 30
        while not all(map(self.is_ready, self.fronts)):
            if time.monotonic() > deadline_s:
                raise CannotRunError("the processes were not ready within 30 s")
            time.sleep(0.1)
        self.recorder.write(f"{count} processes are ready")

    def start_process(self, name):
        """Start one process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["almondstack"]["run"].split(" ")
        environment = {
            name_: os.environ[name_] for name_ in ("PATH", "HOME", "LANG") if name_ in os.environ
        }
        environment |= {
            "ALMONDSTACK_CONFIG": str(self._settings[name]),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = open(Path(self._temporary.name) / f"{name}.log", "ab")  # noqa: SIM115
        with log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.recorder.write(f"{name} is started, process {self.processes[name].pid}")

    def is_ready(self, name):
        """Whether a process answers at its ready address with 200."""
        return call(self._readies[name], "GET", "/almondstack/ready", timeout_s=1.0)[0] == 200

    def log_of(self, name):
        """Return what a process has written."""
        return (Path(self._temporary.name) / f"{name}.log").read_text(errors="replace")

    def restart_ended(self):
        """Start the processes again that have ended by themselves, as the platform does."""
        for name, process in list(self.processes.items()):
            code = process.poll()
            if code is not None:
                self.ends_by_itself.append(name)
                self.recorder.write(f"{name} has ended by itself with exit code {code}")
                self.start_process(name)

    def signal(self, name, number):
        """Send a signal to a process that this case has started."""
        self.recorder.write(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def close(self):
        """End all processes that were started."""
        self._is_closed.set()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        self._temporary.cleanup()

    # Clients

    def submit(self, front, job, body, deadline_ms=3000):
        """Hand a job in at one front; return status and content."""
        self.jobs.setdefault(job, body)
        return self.ask("POST", front, job, json.dumps(body).encode(), deadline_ms)

    def ask(self, method, front, job="", body=b"", deadline_ms=3000):
        """Send one call of a client; status 0 stands for no answer."""
        status, content = call(
            front, method, PREFIX + job, body, deadline_ms / 1000 + 0.5,
            {"Host": HOST_NAME, "Authorization": f"Bearer {KEY}",
             "Content-Type": "application/json", "X-Request-Deadline": str(deadline_ms)},
        )  # fmt: skip
        sent = body.decode() if len(body) < 400 else f"({len(body)} bytes)"
        text = content.decode(errors="replace")[:200]
        self.recorder.write(f"client: {method} {PREFIX}{job} {sent} -> {status} {text}")
        return status, content

    def hand_in(self, job, body, attempts=5):
        """Hand a job in, at another front after each attempt without success; return the status."""
        fronts = list(self.fronts.values())
        status = 0
        for attempt in range(attempts):
            status, _ = self.submit(fronts[attempt % len(fronts)], job, body)
            if 200 <= status < 300:
                break
            time.sleep(0.5)
        return status

    def state(self, job):
        """Return the state of a job at the first front that answers with 200."""
        for front in self.fronts.values():
            status, content = self.ask("GET", front, job)
            if status == 200:
                return json.loads(content)["state"]
        return None


def call(address, method, path, body=b"", timeout_s=3.0, headers=None):
    """Make one HTTP call; return status and body, or 0 without an answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def job_id():
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def _free_ports(ip):
    """Return two free ports and the first of 16 free ones in a row."""
    for _ in range(50):
        first = random.randrange(20_000, 55_000)
        if all(_is_free(ip, first + number) for number in range(18)):
            return first + 16, first + 17, first
    raise CannotRunError(f"no free ports at {ip}")


def _is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def main(folder, case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    signal.signal(signal.SIGALRM, lambda *_: sys.exit(2))
    signal.alarm(LONGEST_S)
    try:
        code = case(Path(folder), has_trouble)
    except CannotRunError as error:
        print(f"can't run: {error}")
    except SystemExit:
        print("can't run: it was ended, or took too long")
    except Exception as error:  # noqa: BLE001
        import traceback

        traceback.print_exc()
        print(f"can't run: {error!r}")
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
