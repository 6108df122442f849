"""Backend servers that answer wrongly, beside sound ones, with nodes that run
by the settings of the users' platform."""

import os
import signal
import threading
import time
import unittest

import platform_fleet
from platform_fleet import common

# The least memory that a deployment gives a process.
MAX_MEMORY_MB = 110
ENDLESS_REQUESTS = 4
TIMEOUT_MS = 1200
PIECE = b"a" * (1 << 17)

ENDLESS_ANSWERS = {
    "no answer": b"",
    "a head": b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nA: ",
    "the size of a chunk": b"%h\r\n",
    "an extension of a chunk": b"%h\r\n1;a=",
    "a trailer": b"%h\r\n0\r\nA: ",
    "a body without a length":
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: 1\r\n\r\n",
}


def start_of(form, request_id):
    head = (b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: 1\r\n"
            b"Transfer-Encoding: chunked\r\n")
    start = ENDLESS_ANSWERS[form].replace(b"%h", head)
    return start.replace(b"%s", request_id.encode())


class EndlessServer(common.Upstream):
    """Begins an answer to GET /stock/odd and sends bytes without a line end
    until the other side closes."""

    form = ""

    def __init__(self, record):
        super().__init__(record, "stock", "i-stock", behave=self.answer)

    def answer(self, connection, line, fields, rest):
        if not line.startswith("GET /stock/odd"):
            return NotImplemented
        connection.sendall(start_of(self.form, fields["request-id"]))
        while True:
            connection.sendall(PIECE)


class OrderLoad:
    """Callers that send orders on kept connections, one after the other."""

    CALLERS = 8

    def __init__(self, node):
        self._node = node
        self._is_over = threading.Event()
        self.answers = []
        self._threads = [threading.Thread(target=self._run)
                         for _ in range(self.CALLERS)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _run(self):
        caller = common.Consumer(self._node.listen["outbound"])
        while not self._is_over.is_set():
            answer = caller.ask("POST", "/orders/2f", os.urandom(8).hex(),
                                b"order")
            self.answers.append(answer.status if answer else None)


class EndlessAnswerTest(unittest.TestCase):

    # Bytes without end took the node's memory; it was killed with the requests
    # of other callers under way.
    def test_bytes_without_end_do_not_take_the_memory(self):
        with platform_fleet.PlatformFleet() as fleet:
            stock = EndlessServer(fleet.record)
            orders = common.Upstream(fleet.record, "orders", "i-orders")
            node = fleet.add("n1", stock)
            fleet.add("n2", orders)
            fleet.start(["stock", "orders"],
                        [("r-stock", "/stock/", "safe", TIMEOUT_MS, "stock"),
                         ("r-orders", "/orders/", "unsafe", 1500, "orders")])
            with platform_fleet.PeakMemory(node) as peak, \
                    OrderLoad(node) as load:
                for form in ENDLESS_ANSWERS:
                    with self.subTest(form=form):
                        stock.form = form
                        self.ask_all(node)
                        self.assertLess(peak.mb, MAX_MEMORY_MB)
            self.assertTrue(node.is_running())
            self.assertGreater(len(load.answers), 100)
            self.assertEqual(set(load.answers), {200})

    def ask_all(self, node):
        answers = []

        def ask():
            caller = common.Consumer(node.listen["outbound"])
            answers.append(caller.ask("GET", "/stock/odd",
                                      os.urandom(8).hex(),
                                      limit_ms=TIMEOUT_MS))

        threads = [threading.Thread(target=ask)
                   for _ in range(ENDLESS_REQUESTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for answer in answers:
            self.assertFalse(answer and answer.complete and
                             answer.status == 200)


class RefusingServer(common.Upstream):
    """Refuses GET /stock/full, and writes each of its refusals once more, as
    late as it can: as the next answer on every connection that it still has,
    before it runs the request."""

    def __init__(self, record, name, with_id):
        super().__init__(record, "stock", name, work_s=0.05,
                         behave=self.answer)
        self.with_id = with_id
        self.last_refusal = b""
        self.repeated = 0

    def refusal(self, request_id):
        name = f"Request-Id: {request_id}\r\n" if self.with_id else ""
        return ("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                f"{name}Content-Length: 0\r\n\r\n").encode()

    def answer(self, connection, line, fields, rest):
        if line.startswith("GET /stock/full"):
            refusal = self.refusal(fields["request-id"])
            connection.sendall(refusal)
            self.last_refusal = refusal
            # The copy, where the answer to the next request is due.
            head, rest = common.read_head(connection, rest)
            if head is None:
                return None
            line, fields = common.fields_of(head)
            self.repeat(connection)
            return self.run(connection, line, fields, rest)
        if self.with_id and self.last_refusal:
            # On another connection only the id tells.
            self.repeat(connection)
        return NotImplemented

    def repeat(self, connection):
        self.repeated += 1
        connection.sendall(self.last_refusal)


class RepeatedRefusalTest(unittest.TestCase):
    """An earlier refusal that a server writes once more is no proof that a
    later request was not run."""

    MAX_REQUESTS = 100
    COPIES = 20

    def check(self, with_id):
        with platform_fleet.PlatformFleet() as fleet:
            servers = [RefusingServer(fleet.record, f"i-stock-{number}",
                                      with_id) for number in (1, 2)]
            nodes = [fleet.add(f"n{number}", server)
                     for number, server in enumerate(servers, 1)]
            fleet.start(["stock"],
                        [("r-stock", "/stock/", "unsafe", 1500, "stock")])
            caller = common.Consumer(nodes[0].listen["outbound"])
            refused = []
            for _ in range(self.MAX_REQUESTS):
                if sum(server.repeated for server in servers) >= self.COPIES:
                    break
                caller.ask("GET", "/stock/full", os.urandom(8).hex())
                request_id = os.urandom(8).hex()
                answer = caller.ask("POST", "/stock/2f", request_id, b"order")
                if answer and answer.status in (408, 421, 429, 503):
                    refused.append(request_id)
            time.sleep(0.5)
            runs = [request_id for server in servers
                    for _, request_id, _ in server.runs]
            if with_id:
                self.assertGreaterEqual(
                    sum(server.repeated for server in servers), self.COPIES)
            else:
                # A connection is not used again after a refusal.
                self.assertEqual(sum(s.repeated for s in servers), 0)
            self.assertEqual([i for i in refused if i in runs], [])
            self.assertEqual(len(runs), len(set(runs)))

    def test_with_an_id(self):
        self.check(with_id=True)

    def test_without_an_id(self):
        self.check(with_id=False)


class ExtraRefusalServer(common.Upstream):
    """Sends a refusal without a request id ahead of each answer to an order on a
    connection that has carried one before."""

    def __init__(self, record, name):
        super().__init__(record, "stock", name, behave=self.answer)
        self._used = set()
        self.extra = 0

    def answer(self, connection, line, fields, rest):
        if line.startswith("POST") and connection in self._used:
            self.extra += 1
            connection.sendall(b"HTTP/1.1 503 Service Unavailable\r\n"
                               b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        self._used.add(connection)
        return NotImplemented


class ExtraRefusalTest(unittest.TestCase):
    """A refusal without an id is no proof where it can be additional bytes."""

    ORDERS = 100
    MIN_EXTRA = 20

    # The order ran, and was sent to another server as one that had not run.
    def test_order_behind_an_extra_refusal_runs_once(self):
        with platform_fleet.PlatformFleet() as fleet:
            servers = [ExtraRefusalServer(fleet.record, f"i-stock-{number}")
                       for number in (1, 2)]
            nodes = [fleet.add(f"n{number}", server)
                     for number, server in enumerate(servers, 1)]
            fleet.start(["stock"],
                        [("r-stock", "/stock/", "unsafe", 1500, "stock")])
            caller = common.Consumer(nodes[0].listen["outbound"])
            statuses = [caller.ask("POST", "/stock/2f", os.urandom(8).hex(),
                                   b"order").status
                        for _ in range(self.ORDERS)]
            self.assertGreaterEqual(sum(server.extra for server in servers),
                                    self.MIN_EXTRA)
            runs = [request_id for server in servers
                    for _, request_id, line in server.runs
                    if line.startswith("POST")]
            self.assertEqual(len(runs), len(set(runs)))
            self.assertEqual(statuses, [200] * self.ORDERS)


class PlannedStopTest(unittest.TestCase):
    """A stop in calm, with requests that come late in the grace time."""

    GRACE_S = 6
    WORK_S = 2.9
    CALLERS = 6

    # Requests that were still running at the end of the grace time were cut
    # without an answer, and those that could not finish were taken all the same.
    def test_no_request_is_cut(self):
        with platform_fleet.PlatformFleet() as fleet:
            orders = common.Upstream(fleet.record, "orders", "i-orders",
                                     behave=self.run_slowly)
            other = common.Upstream(fleet.record, "other", "i-other")
            entry = fleet.add("n1", other)
            fleet.add("n2", orders)
            fleet.start(["orders", "other"],
                        [("r-orders", "/orders/", "unsafe", 8000, "orders"),
                         ("r-other", "/other/", "safe", 1500, "other")])
            results = []
            stop = time.monotonic() + 1
            threads = [threading.Thread(
                target=self.send_late, args=(entry, stop, number, results))
                for number in range(self.CALLERS)]
            for thread in threads:
                thread.start()
            platform_fleet.sleep_until(stop)
            entry.send_signal(signal.SIGTERM)
            for thread in threads:
                thread.join()
            # The grace time has ended when the process has.
            self.assertEqual(entry.process.wait(self.GRACE_S), 0)
            self.assertLess(time.monotonic() - stop, self.GRACE_S)
            ran = {request_id for _, request_id, _ in orders.runs}
            self.assertEqual(len(results), self.CALLERS)
            for request_id, sent_s, status in results:
                with self.subTest(sent_s=sent_s, status=status):
                    self.assertIsNotNone(status)
                    if status == 503:
                        self.assertNotIn(request_id, ran)

    def run_slowly(self, connection, line, fields, rest):
        """Orders of the test take long; the requests of the start don't."""
        del connection, rest
        if line.startswith("POST"):
            time.sleep(self.WORK_S)
        return NotImplemented

    def send_late(self, entry, stop, number, results):
        """Sends one order on a kept connection, up to the middle of the grace
        time, when idle connections are closed."""
        caller = common.Consumer(entry.listen["outbound"])
        caller.ask("GET", "/other/2f", os.urandom(8).hex())
        sent_s = 1.9 + number * 0.2
        platform_fleet.sleep_until(stop + sent_s)
        request_id = os.urandom(8).hex()
        answer = caller.ask("POST", "/orders/2f", request_id, b"order",
                            limit_ms=8000)
        results.append((request_id, sent_s, answer.status if answer else None))


if __name__ == "__main__":
    unittest.main()
