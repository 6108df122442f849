"""Nodes that run by the settings of the users' platform, for process tests.

The store, the backend servers and the callers are the stand-ins of
review/common.py; the nodes are those of this build, on ports of a PortBlock.
"""

import pathlib
import shutil
import socket
import struct
import sys
import tempfile
import threading
import time

import harness

sys.path.insert(0, str(harness.ROOT / "review"))
import common  # noqa: E402


# Within which a node still sends to one that has just ended.
PEER_KNOWN_S = 4


class PlatformFleet:
    """A store and nodes; as a context manager, ends them."""

    def __init__(self, store_type=None):
        """`store_type` takes the place of common.Store."""
        self._ports = harness.PortBlock()
        self.work_dir = pathlib.Path(tempfile.mkdtemp(prefix="banyantrail-"))
        # The stand-ins run what the deploy file says, below this folder.
        (self.work_dir / "deploy").symlink_to(harness.ROOT / "deploy")
        (self.work_dir / "target").symlink_to(harness.BUILD)
        common.REPOSITORY = str(self.work_dir)
        common.free_ports = self._allocate
        self.record = common.Record(str(self.work_dir))
        self._fleet = common.Fleet(self.record)
        if store_type:
            self._fleet.store.server.shutdown()
            self._fleet.store.server.server_close()
            self._fleet.store = store_type(self.record)

    def __enter__(self):
        return self

    def __exit__(self, kind, value, traceback):
        if value is not None:
            self._print_logs()
        self._fleet.stop()
        self._ports.close()
        shutil.rmtree(self.work_dir, ignore_errors=True)

    def _allocate(self, count):
        return min(self._ports.allocate() for _ in range(count))

    def _print_logs(self):
        for log in sorted(pathlib.Path(self._fleet.folder).glob("*.log")):
            tail = log.read_text(errors="replace").splitlines()[-15:]
            print(f"--- {log.name}\n" + "\n".join(tail), file=sys.stderr)

    @property
    def store(self):
        return self._fleet.store

    def allocate_port(self):
        return self._ports.allocate()

    @property
    def nodes(self):
        return self._fleet.nodes

    def settings_path(self, node):
        return pathlib.Path(self._fleet.folder) / f"{node.name}.json"

    def log_path(self, node):
        return self.settings_path(node).with_suffix(".log")

    @staticmethod
    def admin_address(node):
        """The project's own interface, on the second internal port."""
        return f"{common.LOOPBACK}:{node.internal_ports[0] + 1}"

    def add(self, name, upstream, **options):
        return self._fleet.add(name, upstream, **options)

    @staticmethod
    def replace(node, upstream_type):
        """Kills a node. An upstream that listens at its mesh address answers
        the other nodes in its place, while they still send there."""
        address = (common.LOOPBACK, int(node.listen["inbound"].split(":")[1]))
        node.kill()
        peer = upstream_type(node.record, address=address)
        peer.id = node.upstream.id
        return peer

    def start(self, services, routes):
        """Accepts a configuration, starts all nodes and waits until each serves
        every route. `routes` are as in common.Store.put_configuration."""
        self.store.put_configuration(services, routes)
        self._fleet.start()
        for node in self._fleet.nodes:
            for _, prefix, _, _, _ in routes:
                self._fleet.await_service(node, f"{prefix}ready")


class PeakMemory:
    """Samples the resident size of a node's process, in MB."""

    INTERVAL_S = 0.005

    def __init__(self, node):
        self._node = node
        self._stopped = threading.Event()
        self.mb = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(self.INTERVAL_S):
            self.mb = max(self.mb, self._node.resident_mb())


def reset(connection):
    """Closes with a reset, also if nothing is unread."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    connection.close()


def sleep_until(moment):
    time.sleep(max(moment - time.monotonic(), 0))
