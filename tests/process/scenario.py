"""Runs a fleet under load and injected faults and checks its history.

docs/HISTORY.md describes the format of the history.
"""

import contextlib
import hashlib
import http.client
import json
import os
import pathlib
import shutil
import subprocess
import sys
import threading
import time

import harness

sys.path.insert(0, str(harness.ROOT / "tests" / "history"))
import checker  # noqa: E402

OBSERVER_INTERVAL_S = 0.15
OBSERVER_TIMEOUT_S = 1
# Where the histories of failed scenarios are saved.
FAILED_HISTORIES = harness.BUILD / "histories"


def now_us():
    """Monotonic time; the stand-ins record their events on the same clock."""
    return time.monotonic_ns() // 1000


def content_digest(objects):
    """Digest of the declared objects that a node or the platform returns."""
    text = json.dumps(objects, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


class HistoryFile:
    """A JSON Lines file to which several threads append events."""

    def __init__(self, path):
        self.path = path
        self._lock = threading.Lock()

    def write(self, event, **fields):
        line = json.dumps({"t_us": now_us(), "event": event, **fields})
        with self._lock, self.path.open("a") as out:
            out.write(line + "\n")


class Observer:
    """Records the state of one node every OBSERVER_INTERVAL_S."""

    def __init__(self, vm, process, history):
        self._vm = vm
        self._process = process
        self._history = history
        self._stopped = threading.Event()
        self._recorded_pid = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(OBSERVER_INTERVAL_S):
            with contextlib.suppress(OSError, http.client.HTTPException,
                                     ValueError, KeyError):
                self._observe()

    def _observe(self):
        pid = self._process.pid if self._process.running() else None
        if pid is None:
            return
        connection = http.client.HTTPConnection(
            *harness.split_address(self._vm.admin), timeout=OBSERVER_TIMEOUT_S)
        with contextlib.closing(connection):
            ready = self._get(connection, "/readyz")[0] == 200
            if pid != self._recorded_pid:
                self._history.write("node_up", node=self._vm.node, life=pid)
                self._recorded_pid = pid
            # Read before and after the routes: a server that joins or leaves
            # in between counts as known.
            before = self._known_servers(connection)
            release = self._get(connection, "/v1/release")[1]
            routes = self._get(connection, "/v1/routes")[1]
            after = self._known_servers(connection)
        same_revision = routes["revision"] == release["revision"]
        self._history.write(
            "node_state", node=self._vm.node, life=pid, ready=ready,
            revision=release["revision"],
            content=content_digest(release["objects"]),
            services=[key.split("/", 1)[1] for key in release["objects"]
                      if key.startswith("service/")],
            routes=[self._route_fields(route) for route in routes["routes"]
                    if same_revision],
            known_servers=sorted(before | after))

    @staticmethod
    def _get(connection, path):
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, json.loads(response.read())

    def _known_servers(self, connection):
        members = self._get(connection, "/v1/members")[1]["members"]
        return {server["id"] for member in members
                for server in member["backend_servers"]}

    @staticmethod
    def _route_fields(route):
        return {"rule": route["rule"], "service": route["service"],
                "published": route["published"],
                "backend_servers": [server["id"] for server
                                    in route["backend_servers"]]}


class Scenario:
    """A fleet whose events are recorded as a history.

    As a context manager, ends the fleet, and saves the history on failure.
    """

    def __init__(self, name, topology_data, declarations):
        self.name = name
        self.fleet = harness.Fleet(topology_data)
        self.history = HistoryFile(self.fleet.work_dir / "history.jsonl")
        self._declarations = pathlib.Path(declarations)
        self._variant = 0
        self._observers = []
        self._loads = []

    def __enter__(self):
        return self

    def __exit__(self, kind, value, traceback):
        for load, _ in self._loads:
            load.kill()
            load.wait()
        for observer in self._observers:
            observer.stop()
        if value is not None:
            self.save_history()
        self.fleet.__exit__(kind, value, traceback)

    def start(self):
        """Starts the fleet, applies the declarations, waits for routes."""
        self.fleet.start()
        self._observers = [
            Observer(vm, self.fleet.nodes[vm.node], self.history)
            for vm in self.fleet.topology.vms]
        self.apply()
        self.fleet.wait_ready()
        self.fleet.wait_backends()

    def next_declarations(self):
        """A new folder of declarations; an alert rule differs each time."""
        self._variant += 1
        folder = self.fleet.work_dir / f"declarations-{self._variant}"
        shutil.copytree(self._declarations, folder)
        alert = {"kind": "alert_rule", "name": "edition",
                 "selector": "every-proxy",
                 "expression": f"edition == {self._variant}",
                 "severity": "ticket"}
        (folder / "edition.json").write_text(json.dumps(alert))
        return folder

    def apply(self, node=None):
        """Applies new declarations through a node; returns the revision."""
        node = node or self.fleet.topology.vms[0].node
        result = self.fleet.ctl(node, "apply", self.next_declarations())
        if result.returncode != 0:
            raise AssertionError(
                f"apply failed: {result.stdout}{result.stderr}")
        return self.record_accepted(node)

    def record_accepted(self, node):
        """Records the platform's newest revision as accepted."""
        head = harness.get_json(self.fleet.topology.vm(node).admin, "/v1/head")
        self.history.write("accepted", revision=head["revision"],
                           content=content_digest(head["objects"]))
        return head["revision"]

    @contextlib.contextmanager
    def record_fault(self, fault, *targets):
        """Records the start and the end of a fault around a block."""
        self.history.write("fault_start", fault=fault, targets=list(targets))
        yield
        self.history.write("fault_end", fault=fault, targets=list(targets))

    def kill_vm(self, node):
        """Kills the node and the backend server of a VM, as its loss would."""
        for process in (self.fleet.nodes[node], self.fleet.backends[node]):
            process.kill()
        self.history.write("node_down", node=node, life=0)

    def start_vm(self, node):
        """Restarts the processes of a killed VM under the same addresses."""
        self.fleet.nodes[node].start()
        self.fleet.start_backend(node)
        self.fleet.wait_for(self.fleet.topology.vm(node), "/readyz")

    def stop(self, process):
        """Records a planned stop of a process; returns the exit status."""
        self.history.write("stop_start", process=process.name)
        status = process.stop()
        self.history.write("stop_end", process=process.name, status=status)
        return status

    def start_load(self, classes, duration_s, seed=1, targets=None):
        """Starts load in the background; finish_load() returns the report."""
        plan = {"targets": targets or [vm.caller for vm
                                       in self.fleet.topology.vms],
                "duration_ms": int(1000 * duration_s), "seed": seed,
                "caller": f"caller{len(self._loads)}", "classes": classes}
        path = self.fleet.work_dir / f"plan{len(self._loads)}.json"
        path.write_text(json.dumps(plan))
        history = self.fleet.work_dir / f"calls{len(self._loads)}.jsonl"
        load = subprocess.Popen(
            [harness.STANDINS / "load_caller", "--plan", path, "--history",
             history], stdout=subprocess.PIPE, text=True,
            preexec_fn=harness.die_with_parent)
        self._loads.append((load, history))
        return load

    def finish_load(self, load, timeout=60):
        return json.loads(load.communicate(timeout=timeout)[0])

    def events(self):
        """All events so far, from the test, the callers and the servers."""
        files = [self.history.path, *[path for _, path in self._loads],
                 *[self.fleet.run_log(vm.node)
                   for vm in self.fleet.topology.vms]]
        return checker.load(path for path in files if path.exists())

    def check_guarantees(self):
        """Fails with a list of the guarantees that the history violates."""
        for observer in self._observers:
            observer.stop()
        violations = checker.check(self.events())
        if violations:
            listed = "\n".join(str(violation) for violation in violations[:20])
            raise AssertionError(
                f"{len(violations)} violations in {self.name}:\n{listed}")

    def save_history(self):
        FAILED_HISTORIES.mkdir(parents=True, exist_ok=True)
        path = FAILED_HISTORIES / f"{self.name}-{os.getpid()}.jsonl"
        with path.open("w") as out:
            for event in self.events():
                out.write(json.dumps(event) + "\n")
        print(f"history saved to {path}", file=sys.stderr)
