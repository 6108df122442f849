"""Checks that a request that crashes backend servers is quarantined.

Its caller keeps resending it; without quarantine each attempt would crash one
more backend server.
"""

import socket
import time
import unittest

import harness

DECLARATIONS = harness.ROOT / "examples" / "liushu" / "declarations"
# Five servers, more than may crash, so that a request that is not quarantined
# fails the test.
SERVICES = ["order-desk"] * 5
MAX_CRASHES = 2
ATTEMPTS = 12
QUARANTINE_PROPAGATION_S = 1
# Within which nodes learn what the others know, from when they can.
CATCH_UP_S = 3
RESPONSE_TIMEOUT_S = 10

SMALL_BODY = b"poison " * 71
# Above the size that nodes keep.
LARGE_BODY = b"poison " * 14_286
PIECE_PAUSE_S = 0.01


def head(attempt, *fields):
    lines = ["POST /orders HTTP/1.1", "Host: orders.example",
             "x-test-crash: 1", f"Idempotency-Key: key-{attempt}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def with_length(body):
    return lambda attempt: [
        head(attempt, f"Content-Length: {len(body)}") + body]


def in_one_chunk(attempt):
    return [head(attempt, "Transfer-Encoding: chunked") + chunk(SMALL_BODY)
            + chunk(b"")]


def in_small_chunks(attempt):
    """The chunks of each attempt have another size."""
    size = 10 + attempt
    chunks = [chunk(SMALL_BODY[begin:begin + size])
              for begin in range(0, len(SMALL_BODY), size)]
    return [head(attempt, "Transfer-Encoding: chunked"), *chunks, chunk(b"")]


def behind_another(attempt):
    """Sent ahead, while the response to an honest request is due."""
    honest = (b"POST /orders HTTP/1.1\r\nHost: orders.example\r\n"
              b"Content-Length: 6\r\n\r\nhonest")
    return [honest + b"".join(in_one_chunk(attempt))]


def with_expectation(body):
    return lambda attempt: [
        head(attempt, f"Content-Length: {len(body)}", "Expect: 100-continue"),
        body]


def chunks_with_expectation(attempt):
    return [head(attempt, "Transfer-Encoding: chunked", "Expect: 100-continue"),
            chunk(SMALL_BODY) + chunk(b"")]


FRAMINGS = {
    "length": with_length(SMALL_BODY),
    "kept at the first node alone": with_length(LARGE_BODY[:20_000]),
    "length above what is kept": with_length(LARGE_BODY),
    "one chunk": in_one_chunk,
    "small chunks": in_small_chunks,
    "sent ahead": behind_another,
    "expectation": with_expectation(SMALL_BODY),
    "expectation, above what is kept": with_expectation(LARGE_BODY),
    "chunks with an expectation": chunks_with_expectation,
}


def send(address, pieces):
    """Sends the pieces one after another; returns all that is answered."""
    answer = b""
    with socket.create_connection(harness.split_address(address),
                                  timeout=RESPONSE_TIMEOUT_S) as connection:
        try:
            for piece in pieces:
                connection.sendall(piece)
                time.sleep(PIECE_PAUSE_S)
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # Refused before it was read; the answer is there.
        try:
            while data := connection.recv(1 << 16):
                answer += data
        except OSError:
            pass
    return answer


class PoisonTest(unittest.TestCase):

    def start(self, fleet):
        fleet.start()
        result = fleet.ctl("n1", "apply", DECLARATIONS)
        self.assertEqual(result.returncode, 0, result.stderr)
        fleet.wait_ready()
        fleet.wait_backends()

    def crashed(self, fleet):
        return [name for name, process in fleet.backends.items()
                if not process.running()]

    def send_all(self, fleet, pieces_of, attempts=ATTEMPTS):
        """Resends the crashing request; returns the last answer."""
        answer = b""
        for attempt in range(attempts):
            vm = fleet.topology.vms[attempt % len(SERVICES)]
            answer = send(vm.caller, pieces_of(attempt))
            time.sleep(QUARANTINE_PROPAGATION_S / 5)
        return answer

    # Orders of which nodes knew no digest, such as those in chunks, crashed
    # one backend server after another.
    def test_framing_does_not_hide_a_crashing_request(self):
        for name, pieces_of in FRAMINGS.items():
            with self.subTest(name):
                topology = harness.small_topology(*SERVICES)
                with harness.Fleet(topology) as fleet:
                    self.start(fleet)
                    answer = self.send_all(fleet, pieces_of)
                    crashed = self.crashed(fleet)
                    self.assertLessEqual(len(crashed), MAX_CRASHES, crashed)
                    self.assertIn(b"quarantined", answer.lower())
                    self.check_other_orders(fleet)

    # A node that restarts, or is not reached when a crash is reported, learns
    # of the crashes before.
    def test_later_nodes_know_a_crashing_request(self):
        for name in ("restarted", "frozen"):
            with self.subTest(name):
                topology = harness.small_topology(*SERVICES)
                with harness.Fleet(topology) as fleet:
                    self.start(fleet)
                    self.check_later_node(fleet, name == "frozen")

    def check_later_node(self, fleet, is_frozen):
        later = "n5"
        others = [vm for vm in fleet.topology.vms if vm.node != later]
        node = fleet.nodes[later]
        if is_frozen:
            node.freeze()
        else:
            node.kill()
        # Until the others count it as failed and send it nothing.
        time.sleep(CATCH_UP_S)
        for attempt in range(ATTEMPTS):
            send(others[attempt % len(others)].caller, in_one_chunk(attempt))
        crashed = self.crashed(fleet)
        self.assertEqual(len(crashed), MAX_CRASHES, crashed)
        if is_frozen:
            node.thaw()
        else:
            node.start()
            fleet.wait_for(fleet.topology.vm(later), "/readyz")
        time.sleep(CATCH_UP_S)
        # Its backend server is one of the three that are left.
        self.send_all(fleet, in_one_chunk, attempts=3 * ATTEMPTS)
        self.assertEqual(self.crashed(fleet), crashed)

    def check_other_orders(self, fleet):
        """Checks that the remaining servers still serve other orders."""
        for vm in fleet.topology.vms:
            status = harness.request(vm.caller, "POST", "/orders", b"honest",
                                     timeout=10)[0]
            self.assertEqual(status, 200, vm.node)


if __name__ == "__main__":
    unittest.main()
