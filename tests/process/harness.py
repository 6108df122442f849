"""Runs a fleet as real processes on loopback ports, for tests.

A Fleet ends every process that it started, each by its process id.
"""

import contextlib
import ctypes
import http.client
import json
import os
import pathlib
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import topology as topologies  # noqa: E402

BUILD = pathlib.Path(os.environ.get("BANYANTRAIL_BUILD", ROOT / "build"))
NODE_PROGRAM = BUILD / "packages" / "node" / "banyantraild"
CTL_PROGRAM = BUILD / "packages" / "ctl" / "banyantrailctl"
STANDINS = BUILD / "tests" / "standins"

# Below the range of ephemeral ports, so that outgoing connections do not take
# the ports of a block.
FIRST_PORT = 10000
PORTS_PER_BLOCK = 400
PORT_BLOCK_COUNT = 48
PR_SET_PDEATHSIG = 1
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20


_PRCTL = ctypes.CDLL(None).prctl


def die_with_parent():
    """Has the kernel kill this process if the test that started it dies.

    Runs in the child between fork and exec.
    """
    _PRCTL(PR_SET_PDEATHSIG, signal.SIGKILL)


class PortBlock:
    """A block of ports that belongs to this process alone.

    The first port stays bound as a lock: a test run that cannot bind it tries
    the next block.
    """

    def __init__(self):
        start = os.getpid() % PORT_BLOCK_COUNT
        for step in range(PORT_BLOCK_COUNT):
            index = (start + step) % PORT_BLOCK_COUNT
            first = FIRST_PORT + index * PORTS_PER_BLOCK
            self._lock_socket = socket.socket()
            try:
                self._lock_socket.bind(("127.0.0.1", first))
                self._lock_socket.listen(1)
            except OSError:
                self._lock_socket.close()
                continue
            self.first_port = first + 1
            self._free_end = first + PORTS_PER_BLOCK
            return
        raise RuntimeError("no free port block; end other test runs")

    def allocate(self):
        """Takes a port from the end of the block; topologies use its start."""
        self._free_end -= 1
        return self._free_end

    def close(self):
        self._lock_socket.close()


class Process:
    """A program that can be started and stopped, and its log file."""

    def __init__(self, name, command, work_dir):
        self.name = name
        self.command = [str(part) for part in command]
        self.log_path = pathlib.Path(work_dir) / f"{name}.log"
        self._popen = None
        self._frozen = False

    def start(self):
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                self.command, stdout=log, stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL, preexec_fn=die_with_parent)
        self._frozen = False

    @property
    def pid(self):
        return self._popen.pid

    def running(self):
        return self._popen is not None and self._popen.poll() is None

    def kill(self):
        """Ends the process with SIGKILL, as a crash does."""
        if self.running():
            self._popen.kill()
            self._popen.wait()

    def terminate(self):
        """Sends SIGTERM and returns; wait() returns the exit status."""
        self._popen.send_signal(signal.SIGTERM)

    def wait(self, timeout=STOP_TIMEOUT_S):
        """Waits until the process exits; returns the exit status."""
        return self._popen.wait(timeout)

    def stop(self, timeout=STOP_TIMEOUT_S):
        """Stops the process with SIGTERM; returns the exit status."""
        self.terminate()
        return self.wait(timeout)

    def freeze(self):
        """Suspends the process with SIGSTOP; its connections stay open."""
        self._popen.send_signal(signal.SIGSTOP)
        self._frozen = True

    def thaw(self):
        """Resumes a frozen process with SIGCONT."""
        if self._frozen and self.running():
            self._popen.send_signal(signal.SIGCONT)
        self._frozen = False

    def cpu_seconds(self):
        """User and system processor time used so far."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self):
        """Resident set size."""
        pages = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()[1]
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def log_tail(self, lines=15):
        if not self.log_path.exists():
            return ""
        text = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(text[-lines:])


class Forwarder:
    """A TCP forwarder that injects network faults.

    Nodes connect to the platform through it.
    """

    def __init__(self, port, target):
        self.address = f"127.0.0.1:{port}"
        self._target = split_address(target)
        self._cut = False
        self._silent = False
        self._other_end = {}
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", port))
        self._wake_read, self._wake_write = os.pipe()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def cut(self):
        """Closes all connections, and new ones once they are accepted."""
        with self._lock:
            self._cut = True
        self._wake()

    def silence(self):
        """Keeps connections open but discards all bytes, as a black hole."""
        with self._lock:
            self._silent = True
        self._wake()

    def heal(self):
        """Forwards again; closes connections, which may have lost bytes."""
        with self._lock:
            self._cut = self._silent = False
            self._close_connections()
        self._wake()

    def close(self):
        self._stopped = True
        self._wake()
        self._thread.join()
        self._listener.close()
        os.close(self._wake_read)
        os.close(self._wake_write)

    def _wake(self):
        os.write(self._wake_write, b"x")

    def _close_connections(self):
        for side in list(self._other_end):
            side.close()
        self._other_end.clear()

    def _accept(self):
        client, _ = self._listener.accept()
        if self._cut:
            client.close()
            return
        try:
            server = socket.create_connection(self._target, timeout=1)
        except OSError:
            client.close()
            return
        self._other_end[client] = server
        self._other_end[server] = client

    def _forward(self, side):
        other = self._other_end.get(side)
        if other is None:
            return
        try:
            data = side.recv(1 << 16)
            if self._silent and data:
                return
            if data:
                other.sendall(data)
                return
        except OSError:
            pass
        for end in (side, other):
            self._other_end.pop(end, None)
            end.close()

    def _run(self):
        while not self._stopped:
            sides = list(self._other_end)
            readable, _, _ = select.select(
                [self._listener, self._wake_read, *sides], [], [])
            with self._lock:
                if self._wake_read in readable:
                    os.read(self._wake_read, 64)
                if self._cut:
                    self._close_connections()
                if self._listener in readable:
                    self._accept()
                for side in sides:
                    if side in readable:
                        self._forward(side)
        with self._lock:
            self._close_connections()


def split_address(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def request(address, method, path, body=None, headers=None, timeout=5):
    """One HTTP exchange; returns (status, headers, body bytes)."""
    connection = http.client.HTTPConnection(*split_address(address),
                                            timeout=timeout)
    with contextlib.closing(connection):
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()


def get_json(address, path, timeout=5):
    """The JSON body of a response with status 200, or None without one."""
    try:
        status, _, body = request(address, "GET", path, timeout=timeout)
    except (OSError, http.client.HTTPException):
        return None
    return json.loads(body) if status == 200 else None


def post_json(address, path, data, timeout=5):
    status, _, body = request(address, "POST", path, json.dumps(data),
                              {"Content-Type": "application/json"}, timeout)
    return status, body


def wait_until(predicate, timeout, condition):
    """Polls predicate() until it returns a true value, and returns that."""
    deadline = time.monotonic() + timeout
    while True:
        result = predicate()
        if result:
            return result
        if time.monotonic() > deadline:
            raise AssertionError(
                f"timed out after {timeout} s waiting until {condition}")
        time.sleep(0.02)


class Fleet:
    """The processes of a topology; as a context manager, ends them."""

    def __init__(self, topology_data, node_settings=None):
        """`node_settings` overrides entries of the settings of each node."""
        self._ports = PortBlock()
        self.work_dir = pathlib.Path(tempfile.mkdtemp(prefix="banyantrail-"))
        self.topology = topologies.parse(topology_data, self._ports.first_port)
        self._extra_settings = node_settings or {}
        self.platform = Process(
            "platform",
            [STANDINS / "platform_stand_in", "--listen",
             self.topology.platform], self.work_dir)
        self.platform_links = {}
        self.nodes = {}
        self.backends = {}
        for vm in self.topology.vms:
            self._add_vm(vm)

    def __enter__(self):
        return self

    def __exit__(self, kind, value, traceback):
        if value is not None:
            self._print_logs()
        self.close()

    def _add_vm(self, vm):
        if vm.domain not in self.platform_links:
            self.platform_links[vm.domain] = Forwarder(
                self._ports.allocate(), self.topology.platform)
        link = self.platform_links[vm.domain]
        settings = self.topology.settings(vm, platform=link.address)
        settings.update(self._extra_settings)
        path = self.work_dir / f"{vm.node}.json"
        path.write_text(json.dumps(settings))
        self.nodes[vm.node] = Process(
            vm.node, [NODE_PROGRAM, "--settings", path], self.work_dir)
        self.backends[vm.node] = Process(
            vm.backend_id,
            [STANDINS / "backend_server_stand_in", "--listen", vm.backend,
             "--admin", vm.admin, "--id", vm.backend_id, "--service",
             vm.service, "--slots", vm.slots, "--service-ms", vm.service_ms,
             "--run-log", self.run_log(vm.node)], self.work_dir)

    def run_log(self, node):
        return self.work_dir / f"{node}.runs.jsonl"

    def start(self):
        """Starts all processes and waits until the nodes report healthy."""
        self.start_platform()
        for process in self.nodes.values():
            process.start()
        for node in self.backends:
            self.start_backend(node)
        for vm in self.topology.vms:
            self.wait_for(vm, "/healthz")

    def start_backend(self, node):
        self.backends[node].start()
        address = self.topology.vm(node).backend
        wait_until(lambda: get_json(address, "/standin/counters"),
                   READY_TIMEOUT_S, f"{node}'s backend server answers")

    def start_platform(self):
        self.platform.start()
        wait_until(lambda: get_json(self.topology.platform,
                                    "/standin/counters"),
                   READY_TIMEOUT_S, "the platform stand-in answers")

    def wait_for(self, vm, path, timeout=READY_TIMEOUT_S):
        def answers():
            try:
                return request(vm.admin, "GET", path)[0] == 200
            except (OSError, http.client.HTTPException):
                return False
        wait_until(answers, timeout, f"{vm.node} answers 200 to {path}")

    def wait_ready(self):
        for vm in self.topology.vms:
            self.wait_for(vm, "/readyz")

    def platform_faults(self, **faults):
        post_json(self.topology.platform, "/standin/faults", faults)

    def backend_faults(self, node, **faults):
        post_json(self.topology.vm(node).backend, "/standin/faults", faults)

    def ctl(self, node, *arguments, timeout=30):
        """Runs banyantrailctl; returns the completed process."""
        command = [str(CTL_PROGRAM), "--node", self.topology.vm(node).admin,
                   *[str(argument) for argument in arguments]]
        return subprocess.run(command, capture_output=True, text=True,
                              timeout=timeout, check=False)

    def revision(self, vm):
        """The revision that a node has in force, or None."""
        release = get_json(vm.admin, "/v1/release", timeout=2)
        return release["revision"] if release else None

    def wait_revision(self, revision, timeout, vms=None):
        """Waits until the nodes have at least the revision in force."""
        for vm in vms or self.topology.vms:
            wait_until(lambda vm=vm: (self.revision(vm) or 0) >= revision,
                       timeout,
                       f"revision {revision} is in force on {vm.node}")

    def routes_text(self, vm):
        """A node's routes as JSON text to search for ids, or ""."""
        routes = get_json(vm.admin, "/v1/routes", timeout=2)
        return json.dumps(routes) if routes else ""

    def wait_backends(self, timeout=READY_TIMEOUT_S):
        """Waits until each node routes to every backend server."""
        for vm in self.topology.vms:
            wait_until(lambda vm=vm: all(
                other.backend_id in self.routes_text(vm)
                for other in self.topology.vms), timeout,
                f"{vm.node} routes to every backend server")

    def close(self):
        processes = [*self.backends.values(), *self.nodes.values(),
                     self.platform]
        for process in processes:
            process.thaw()
            process.kill()
        for link in self.platform_links.values():
            link.close()
        self._ports.close()
        shutil.rmtree(self.work_dir, ignore_errors=True)

    def _print_logs(self):
        for process in [self.platform, *self.nodes.values(),
                        *self.backends.values()]:
            tail = process.log_tail()
            if tail:
                print(f"--- {process.name}\n{tail}", file=sys.stderr)


def example_topology(name):
    """The topology of an example, as parsed JSON."""
    return json.loads((ROOT / "examples" / name / "topology.json").read_text())


def small_topology(*services, domains="abc", slots=8, service_ms=2):
    """A topology with one VM per entry of `services`.

    Each letter of `domains` is a failure domain; VMs take them in turn.
    """
    nodes = [{"node": f"n{index + 1}", "domain": domains[index % len(domains)],
              "service": service, "slots": slots, "service_ms": service_ms}
             for index, service in enumerate(services)]
    return {"name": "test", "region": "r1", "first_port": 0, "nodes": nodes}
