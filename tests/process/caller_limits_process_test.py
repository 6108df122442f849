"""Callers that misbehave: the node stays alive, within its memory, and answers
ordinary requests."""

import contextlib
import os
import socket
import threading
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


if __name__ == "__main__":
    unittest.main()
