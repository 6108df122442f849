"""Callers that misbehave: the node stays alive, within its memory, and answers
ordinary requests."""

import contextlib
import os
import resource
import socket
import threading
import time
import unittest

import platform_fleet
from platform_fleet import common

CALLERS = 100
# Without the limits the peak was 41 MB, and 18 MB with trailers of one field.
MAX_MEMORY_MB = 30
TIMEOUT_MS = 1500


def upload_with_trailer(trailer):
    """The parts of a request with a chunked body that ends with `trailer`."""
    head = ("POST /orders/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
            "Deadline-Milliseconds: %d\r\nTransfer-Encoding: chunked\r\n\r\n"
            % (common.HOST, os.urandom(8).hex(), TIMEOUT_MS))
    return head.encode() + b"1\r\nx\r\n0\r\n" + trailer + b"\r\n"


# The smallest VM of the users' deployments.
VM_MEMORY_MB = 88
CROWDS = (350, 3000)
# Below the limit of the configuration, 16,384 bytes.
CROWD_HEAD_BYTES = 15_000
SLOW_WORK_S = 2
HEAD_LIMIT = 16_384
OWN_DESCRIPTORS = 8192


def head(fields, is_complete=True):
    """A request that runs for SLOW_WORK_S, as far as it is sent."""
    text = ("GET /slow/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
            "Deadline-Milliseconds: 8000\r\n%s"
            % (common.HOST, os.urandom(8).hex(), fields))
    return (text + ("\r\n" if is_complete else "")).encode()


def fields(count):
    """Fields that fill the head, all of one size."""
    value = "x" * (CROWD_HEAD_BYTES // count - len("n00000: \r\n"))
    return "".join(f"n{number:05}: {value}\r\n" for number in range(count))


# What each connection of a crowd sends.
CROWD_FORMS = {
    "nothing": lambda: b"",
    "2,400 fields": lambda: head("a: 1\r\n" * 2400),
    "120 fields": lambda: head(fields(120)),
    "one long field": lambda: head(fields(1)),
    "a head that does not end": lambda: head(fields(100), False),
    "requests ahead": lambda: b"".join(head("a: 1\r\n" * 100)
                                       for _ in range(8)),
}


class CallerLimitsTest(unittest.TestCase):

    def send(self, address, data):
        host, port = address.rsplit(":", 1)
        with contextlib.suppress(OSError), \
                socket.create_connection((host, int(port)), 5) as connection:
            connection.settimeout(3)
            connection.sendall(data)
            while connection.recv(65536):
                pass

    # Each field of a trailer takes an allocation, so that a section of 60 KB took
    # many times its size while its request ran.
    def test_large_trailers_do_not_take_the_memory(self):
        with platform_fleet.PlatformFleet() as fleet:
            orders = common.Upstream(fleet.record, "orders", "i-orders",
                                     work_s=0.5)
            node = fleet.add("n1", orders)
            fleet.start(["orders"],
                        [("r-orders", "/orders/", "unsafe", TIMEOUT_MS,
                          "orders")])
            with platform_fleet.PeakMemory(node) as peak:
                callers = [threading.Thread(
                    target=self.send,
                    args=(node.listen["outbound"],
                          upload_with_trailer(b"a:\r\n" * 15_000)))
                           for _ in range(CALLERS)]
                for caller in callers:
                    caller.start()
                for caller in callers:
                    caller.join()
            self.assertTrue(node.is_running())
            self.assertLess(peak.mb, MAX_MEMORY_MB)
            answer = common.Consumer(node.listen["outbound"]).ask(
                "POST", "/orders/2f", os.urandom(8).hex(), b"order", 3000)
            self.assertEqual(answer.status, 200)

    # The entry node adds fields to a head, and wrote "a:" with a space behind
    # it, which the owner node's limit did not allow for.
    def test_heads_up_to_the_limit_are_served(self):
        with platform_fleet.PlatformFleet() as fleet:
            orders = common.Upstream(fleet.record, "slow", "i-orders")
            other = common.Upstream(fleet.record, "other", "i-other")
            fleet.add("n1", other)
            fleet.add("n2", orders)
            fleet.start(["slow", "other"],
                        [("r-slow", "/slow/", "safe", 8000, "slow")])
            for node in fleet.nodes:
                for fill in (b"a" * 8000, b"a:\r\n" * 100):
                    for size in (15_000, HEAD_LIMIT - 13, HEAD_LIMIT):
                        with self.subTest(f"{node.name}: {size} bytes"):
                            self.check_head(node, fill, size)

    def check_head(self, node, fill, size):
        start = head("", False)
        if not fill.endswith(b"\r\n"):
            fill = b"b: " + fill + b"\r\n"
        rest = size - len(start) - len(fill) - len(b"c: \r\n\r\n")
        message = start + fill + b"c: " + b"x" * rest + b"\r\n\r\n"
        self.assertEqual(len(message), size)
        host, port = node.listen["outbound"].rsplit(":", 1)
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.sendall(message)
            self.assertEqual(connection.recv(12), b"HTTP/1.1 200")

    # The node kept several copies of each head, with an allocation for each
    # field, and no limit for all of them: 350 callers with 2,400 fields each
    # took 260 MB. A crowd that held all connections kept ordinary callers out.
    def test_crowds_leave_memory_and_room_for_orders(self):
        resource.setrlimit(resource.RLIMIT_NOFILE,
                           (OWN_DESCRIPTORS, OWN_DESCRIPTORS))
        for name, message in CROWD_FORMS.items():
            for size in CROWDS:
                with self.subTest(f"{size} connections with {name}"):
                    self.check_crowd(message, size)

    def check_crowd(self, message, size):
        with platform_fleet.PlatformFleet() as fleet, \
                contextlib.ExitStack() as crowd:
            slow = common.Upstream(fleet.record, "slow", "i-slow")
            orders = common.Upstream(fleet.record, "orders", "i-orders")
            node = fleet.add("n1", slow, memory_mb=VM_MEMORY_MB)
            fleet.add("n2", orders, memory_mb=VM_MEMORY_MB)
            fleet.start(["slow", "orders"],
                        [("r-slow", "/slow/", "safe", 8000, "slow"),
                         ("r-orders", "/orders/", "unsafe", TIMEOUT_MS,
                          "orders")])
            slow.work_s = SLOW_WORK_S
            kept = common.Consumer(node.listen["outbound"])
            self.order(kept)
            with platform_fleet.PeakMemory(node) as peak:
                for _ in range(size):
                    self.join_crowd(crowd, node, message())
                # Those that were answered or refused leave room meanwhile.
                self.order(common.Consumer(node.listen["outbound"]))
                time.sleep(0.5)
                self.order(common.Consumer(node.listen["outbound"]))
            self.assertTrue(node.is_running())
            self.assertLess(peak.mb, VM_MEMORY_MB)
            print(f"{peak.mb:.0f} MB", end=" ", flush=True)

    def join_crowd(self, crowd, node, message):
        host, port = node.listen["outbound"].rsplit(":", 1)
        with contextlib.suppress(OSError):
            connection = socket.create_connection((host, int(port)), 5)
            crowd.enter_context(connection)
            connection.sendall(message)

    def order(self, consumer):
        answer = consumer.ask("POST", "/orders/2f", os.urandom(8).hex(),
                              b"order", 3000)
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()
