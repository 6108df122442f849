"""Answers that are cut in the middle of their head, where a node reads heads: at
the backend server beside it, and at another node."""

import os
import socket
import threading
import time
import unittest

import platform_fleet
from platform_fleet import common

TIMEOUT_MS = 1500
# Below the size from which a body waits for "100 Continue", above it, and above
# what is kept for another attempt.
BODIES = {"small": b"order", "large": b"o" * 50_000, "streamed": b"o" * 200_000}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
OTHER = (b"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: earlier\r\n"
         b"Content-Length: 0\r\n\r\n")
FRAMINGS = ["Content-Length: 5", "Content-Length: 0", "Transfer-Encoding: chunked",
            "Connection: close"]
STEP = 7


def whole_head(request_id, framing):
    return common.answer_head(request_id, framing)


class CutServer(common.Upstream):
    """Answers what comes on /cut/ with the first bytes of a head, and closes."""

    def __init__(self, record, **options):
        super().__init__(record, "stock", "i-stock", work_s=0.005,
                         behave=self.answer, **options)
        self.before = b""
        self.framing = FRAMINGS[0]
        self.length = 0
        self.with_reset = False
        self.reads_body = True
        self.cuts = 0

    def answer(self, connection, line, fields, rest):
        if not line.split(" ")[1].endswith("/2f"):
            return NotImplemented
        if self.reads_body:
            if fields.get("expect"):
                connection.sendall(CONTINUE)
            common.read_body(connection, fields, rest)
        head = whole_head(fields["request-id"], self.framing)
        connection.sendall(self.before + head[:min(self.length, len(head) - 1)])
        self.cuts += 1
        if self.with_reset:
            time.sleep(0.01)  # What was sent arrives before the reset.
            platform_fleet.reset(connection)
        return None


class CutHeadTest(unittest.TestCase):

    def start(self, fleet):
        self.server = CutServer(fleet.record)
        self.other = common.Upstream(fleet.record, "other", "i-other")
        self.owner = fleet.add("n1", self.server)
        self.entry = fleet.add("n2", self.other)
        fleet.start(["stock", "other"],
                    [("r-cut", "/cut/", "safe", TIMEOUT_MS, "stock"),
                     ("r-order", "/order/cut/", "unsafe", TIMEOUT_MS, "stock"),
                     ("r-other", "/other/", "safe", TIMEOUT_MS, "other")])

    def ask(self, node, method, body=b"", chunked=False):
        """The status and whether the answer is complete; None without one."""
        consumer = common.Consumer(node.listen["outbound"])
        request_id = os.urandom(8).hex()
        try:
            if not chunked:
                path = "/cut/2f" if method == "GET" else "/order/cut/2f"
                answer = consumer.ask(method, path, request_id, body)
            else:
                answer = self.ask_chunked(consumer, request_id, body)
        except OSError:
            return None
        finally:
            consumer.close()
        return (answer.status, answer.complete) if answer else None

    @staticmethod
    def ask_chunked(consumer, request_id, body):
        consumer.connect()
        consumer.connection.settimeout(TIMEOUT_MS / 1000)
        consumer.connection.sendall(
            (f"POST /order/cut/2f HTTP/1.1\r\nHost: {common.HOST}\r\n"
             f"Request-Id: {request_id}\r\nDeadline-Milliseconds: {TIMEOUT_MS}\r\n"
             f"Transfer-Encoding: chunked\r\n\r\n{len(body):x}\r\n").encode() +
            body + b"\r\n0\r\n\r\n")
        return consumer.read_answer()

    def check_no_success(self, node, method, body=b"", chunked=False):
        answer = self.ask(node, method, body, chunked)
        self.assertFalse(answer and answer[0] < 300 and answer[1], answer)

    def check_served(self, node):
        consumer = common.Consumer(node.listen["outbound"])
        answer = consumer.ask("GET", "/cut/whole", os.urandom(8).hex())
        consumer.close()
        self.assertTrue(answer and answer.complete and answer.status == 200)

    def each_cut(self):
        for framing in FRAMINGS:
            self.server.framing = framing
            for length in range(1, len(whole_head("0" * 16, framing)), STEP):
                self.server.length = length
                yield framing, length

    def test_of_a_backend_server(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            before = {"nothing": b"", "an informational head": CONTINUE,
                      "a whole answer of another request": OTHER}
            for what, self.server.before in before.items():
                for self.server.with_reset in (False, True):
                    with self.subTest(before=what,
                                      reset=self.server.with_reset):
                        for _ in self.each_cut():
                            # The cut comes on a kept connection.
                            self.check_served(self.owner)
                            self.check_no_success(self.owner, "GET")
                            self.check_no_success(self.entry, "POST", b"order")
            self.assertGreater(self.server.cuts, 600)

    def test_between_requests_that_are_sent_ahead(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            for _ in self.each_cut():
                for node in (self.owner, self.entry):
                    answers = self.send_ahead(node, ["whole", "2f", "whole"])
                    self.assertEqual(answers[0], 200)
                    if len(answers) > 1:  # Else the connection was closed.
                        self.assertGreaterEqual(answers[1], 500)
            self.assertGreater(self.server.cuts, 100)

    @staticmethod
    def send_ahead(node, names):
        """The statuses of the complete answers, in their order."""
        consumer = common.Consumer(node.listen["outbound"])
        consumer.connect()
        consumer.connection.settimeout(TIMEOUT_MS / 1000)
        consumer.connection.sendall("".join(
            f"GET /cut/{name} HTTP/1.1\r\nHost: {common.HOST}\r\n"
            f"Request-Id: {os.urandom(8).hex()}\r\n"
            f"Deadline-Milliseconds: {TIMEOUT_MS}\r\n\r\n"
            for name in names).encode())
        statuses = []
        try:
            for _ in names:
                answer = consumer.read_answer()
                if answer is None or not answer.complete:
                    break
                statuses.append(answer.status)
        except OSError:
            pass
        consumer.close()
        return statuses

    def test_while_a_body_is_due(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            for name, body in BODIES.items():
                for self.server.reads_body in (False, True):
                    for chunked in (False, True):
                        with self.subTest(body=name, chunked=chunked,
                                          read=self.server.reads_body):
                            for length in range(1, 100, 2 * STEP):
                                self.server.length = length
                                self.check_no_success(self.entry, "POST", body,
                                                      chunked)
            self.assertGreater(self.server.cuts, 80)

    # The owner node is killed, and what listens at its address next writes the
    # heads as the node did.
    def test_of_another_node(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            peer = fleet.replace(self.owner, CutServer)
            # The thread that accepts keeps a socket that is only closed.
            self.addCleanup(peer.listener.shutdown, socket.SHUT_RDWR)
            self.server = peer
            end = time.monotonic() + platform_fleet.PEER_KNOWN_S
            cases = [(method, body, with_reset)
                     for method, body in (("GET", b""), ("POST", b"order"),
                                          ("POST", BODIES["large"]),
                                          ("POST", BODIES["streamed"]))
                     for with_reset in (False, True)]
            while time.monotonic() < end:
                for length in range(1, len(whole_head("0" * 16, FRAMINGS[0])),
                                    STEP):
                    peer.length = length
                    for method, body, peer.with_reset in cases:
                        self.check_no_success(self.entry, method, body)
            self.assertGreater(peer.cuts, 100)


if __name__ == "__main__":
    unittest.main()
