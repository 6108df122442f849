"""Requests that a caller sends ahead of responses, through real processes."""

import contextlib
import http.client
import json
import socket
import time
import unittest

import harness
import scenario

SERVICES = ["catalogue", "order-desk", "upload-counter"]
DECLARATIONS = harness.ROOT / "examples" / "liushu" / "declarations"
# Slow start lets a backend server run a quarter of its slots at first.
SLOTS = 16
# Limit of the design for the cancellation of a caller's requests.
MAX_CANCEL_S = 0.5


def get(target):
    return f"GET {target} HTTP/1.1\r\nHost: mesh\r\n\r\n".encode()


ORDER = (b"POST /orders HTTP/1.1\r\nHost: mesh\r\n"
         b"Content-Length: 2\r\n\r\nhi")


class PipeliningTest(unittest.TestCase):

    def setUp(self):
        run = scenario.Scenario(
            "pipelining",
            harness.small_topology(*SERVICES, domains="a", slots=SLOTS),
            DECLARATIONS)
        self.addCleanup(run.__exit__, None, None, None)
        run.start()
        self.fleet = run.fleet

    def connect(self, node="n1"):
        address = harness.split_address(self.fleet.topology.vm(node).caller)
        connection = socket.create_connection(address, timeout=10)
        self.addCleanup(connection.close)
        return connection

    def counters(self, node):
        return harness.get_json(self.fleet.topology.vm(node).backend,
                                "/standin/counters")

    def wait_counter(self, node, name, value, timeout=5):
        harness.wait_until(lambda: self.counters(node)[name] == value, timeout,
                           f"'{name}' of {node}'s backend server is {value}")

    def read_responses(self, connection, count):
        """Reads responses; returns (status, path, closes) of each."""
        with contextlib.closing(connection.makefile("rb")) as stream:
            return [self.read_response(stream) for _ in range(count)]

    @staticmethod
    def read_response(stream):
        status = int(stream.readline().split()[1])
        headers = http.client.parse_headers(stream)
        body = json.loads(stream.read(int(headers["content-length"])))
        return status, body.get("path"), headers["connection"] == "close"

    def test_requests_run_beside_a_slow_first_one(self):
        connection = self.connect()
        connection.sendall(get("/catalogue/export?ms=3000") +
                           get("/uploads/2") + get("/orders/3"))
        self.wait_counter("n2", "ended", 1)
        self.wait_counter("n3", "ended", 1)
        self.assertEqual(self.counters("n1")["ended"], 0)
        responses = self.read_responses(connection, 3)
        self.assertEqual([entry[:2] for entry in responses],
                         [(200, "/catalogue/export"), (200, "/uploads/2"),
                          (200, "/orders/3")])

    def test_closing_response_cancels_those_behind_it(self):
        connection = self.connect()
        connection.sendall(get("/catalogue/1") +
                           get("/catalogue/export?bytes=200000000") +
                           get("/uploads/3?ms=8000") + ORDER)
        self.wait_counter("n3", "started", 1)
        # The second response has begun: the node can no longer replace it.
        received = 0
        while received < 1_000_000:
            received += len(connection.recv(100_000))
        self.fleet.backends["n1"].kill()
        with contextlib.suppress(ConnectionResetError):
            while connection.recv(1 << 20):
                pass
        self.wait_counter("n3", "cancelled", 1, MAX_CANCEL_S)
        time.sleep(0.3)
        self.assertEqual(self.counters("n2")["started"], 0)

    def test_caller_that_leaves_cancels_all_its_requests(self):
        connection = self.connect()
        connection.sendall(get("/catalogue/export?ms=8000") +
                           get("/uploads/2?ms=8000") +
                           get("/uploads/3?ms=8000") + ORDER)
        self.wait_counter("n1", "started", 1)
        self.wait_counter("n3", "started", 2)
        connection.close()
        deadline = time.monotonic() + MAX_CANCEL_S
        self.wait_counter("n1", "cancelled", 1, deadline - time.monotonic())
        self.wait_counter("n3", "cancelled", 2,
                          max(deadline - time.monotonic(), 0.05))
        self.assertEqual(self.counters("n2")["started"], 0)

    def test_planned_stop_answers_what_was_forwarded(self):
        # The backend servers of the other nodes stay while n1 stops.
        connection = self.connect()
        connection.sendall(get("/uploads/1?ms=4000") +
                           get("/uploads/2?ms=3000"))
        self.wait_counter("n3", "started", 2)
        self.fleet.nodes["n1"].terminate()
        responses = self.read_responses(connection, 2)
        self.assertEqual(responses, [(200, "/uploads/1", False),
                                     (200, "/uploads/2", True)])
        self.assertEqual(self.fleet.nodes["n1"].wait(), 0)


if __name__ == "__main__":
    unittest.main()
