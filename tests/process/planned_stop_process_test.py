"""Requests that come after the middle of the grace time of a planned stop, on
connections that were about to be closed then."""

import os
import signal
import socket
import threading
import time
import unittest

import platform_fleet
from platform_fleet import common

GRACE_S = 6
CLOSE_S = GRACE_S / 2
LATE_S = 4.7
ORDER_S = 1.2
HOLD_S = 2.9
CONNECTIONS = 900
# Where the first part of a request ends.
CUTS = {"connections that were just accepted": 0,
        "a part of the head": 30,
        "a part of the body": -3}


def order(request_id):
    return (f"POST /orders/2f HTTP/1.1\r\nHost: {common.HOST}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Milliseconds: 3000\r\n"
            "Content-Length: 5\r\n\r\norder").encode()


class LateRequestTest(unittest.TestCase):

    # A session that was not resumed yet when idle connections were closed took a
    # request 1.7 s later, which was given up at the end of the stop.
    def test_no_order_is_taken_after_the_idle_close(self):
        for name, cut in CUTS.items():
            with self.subTest(name), platform_fleet.PlatformFleet() as fleet:
                self.check(fleet, cut)

    def check(self, fleet, cut):
        self.arrivals = []
        orders = common.Upstream(fleet.record, "orders", "i-orders",
                                 behave=self.run_order)
        other = common.Upstream(fleet.record, "other", "i-other")
        entry = fleet.add("n1", other)
        fleet.add("n2", orders)
        fleet.start(["orders", "other"],
                    [("r-orders", "/orders/", "unsafe", 8000, "orders"),
                     ("r-other", "/other/", "safe", 1500, "other")])
        address = common.LOOPBACK, int(entry.listen["outbound"].split(":")[1])
        sockets = [] if cut == 0 else [socket.create_connection(address)
                                       for _ in range(CONNECTIONS)]
        stop = time.monotonic() + 0.5
        platform_fleet.sleep_until(stop)
        entry.send_signal(signal.SIGTERM)
        held = threading.Thread(target=self.hold, args=(entry, stop))
        held.start()
        ids = [os.urandom(8).hex() for _ in range(CONNECTIONS)]
        self.send_first_parts(address, sockets, ids, cut, stop)
        platform_fleet.sleep_until(stop + LATE_S)
        for connection, request_id in zip(sockets, ids):
            try:
                connection.sendall(order(request_id)[cut:])
            except OSError:
                pass  # It was closed, as it should be.
        answers = [self.status(connection) for connection in sockets]
        held.join()
        self.assertEqual(entry.process.wait(GRACE_S), 0)
        # Refused as not run, or closed without having been read.
        self.assertEqual({status for status in answers
                          if status not in (503, None)}, set())
        self.assertEqual([at for at in self.arrivals if at > stop + CLOSE_S + 1],
                         [])

    def run_order(self, connection, line, fields, rest):
        del connection, rest
        if line.startswith("POST"):
            self.arrivals.append(time.monotonic())
            time.sleep(HOLD_S if fields.get("hold") else ORDER_S)
        return NotImplemented

    @staticmethod
    def hold(entry, stop):
        """An order that keeps the process to the end of the grace time."""
        platform_fleet.sleep_until(stop + CLOSE_S - 0.7)
        address = common.LOOPBACK, int(entry.listen["outbound"].split(":")[1])
        with socket.create_connection(address) as connection:
            connection.sendall(order("held").replace(b"Request-Id",
                                                     b"Hold: 1\r\nRequest-Id"))
            connection.settimeout(GRACE_S)
            connection.recv(4096)

    @staticmethod
    def send_first_parts(address, sockets, ids, cut, stop):
        """Spreads them over 40 ms around the close."""
        spread_s = 0.04
        for number, request_id in enumerate(ids):
            platform_fleet.sleep_until(
                stop + CLOSE_S + spread_s * (number / len(ids) - 0.5))
            if cut == 0:
                connection = socket.socket()
                connection.setblocking(False)
                connection.connect_ex(address)
                sockets.append(connection)
                continue
            try:
                sockets[number].sendall(order(request_id)[:cut])
            except OSError:
                pass

    @staticmethod
    def status(connection):
        """The status of the answer, or None if there is none."""
        connection.settimeout(3)
        try:
            data = connection.recv(4096)
        except OSError:
            return None
        finally:
            connection.close()
        return int(data.split(b" ")[1]) if data else None


if __name__ == "__main__":
    unittest.main()
