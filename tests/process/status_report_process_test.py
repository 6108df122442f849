"""Status reports of another writer: they name no backend server, and change
nothing about those that are known or have left."""

import json
import os
import time
import unittest

import harness
import platform_fleet
from platform_fleet import common

TIMEOUT_MS = 1500
# Within which a change at one node reaches all.
PROPAGATION_S = 2
NO_TEXT = "a\x01b"
# In place of each field. Some are sound for one field, which leaves them out.
ODD_VALUES = [None, {"value": 1}, [], True, -1, 1e300, 1.5, NO_TEXT, "",
              "x" * 300]


def odd_reports(report):
    """Pairs of a field and a report in which it is missing or odd."""
    for field in report:
        yield field, {name: value for name, value in report.items()
                      if name != field}
        for odd in ODD_VALUES:
            yield field, {**report, field: odd}
        other_type = "7" if isinstance(report[field], int) else 7
        yield field, {**report, field: other_type}


class StatusReportTest(unittest.TestCase):

    def setUp(self):
        self.fleet = platform_fleet.PlatformFleet()
        self.enterContext(self.fleet)
        self.upstreams = [
            common.Upstream(self.fleet.record, "orders", f"i-{name}")
            for name in ("one", "two")]
        for number, upstream in enumerate(self.upstreams):
            self.fleet.add(f"n{number + 1}", upstream)
        self.fleet.start(["orders"], [("r-orders", "/orders/", "unsafe",
                                       TIMEOUT_MS, "orders")])
        self.node, self.other_node = self.fleet.nodes
        self.left = self.upstreams[0]

    def report_of(self, upstream):
        return {"service": upstream.service, "address": upstream.address,
                "zone": "tw-north-a", "version": "v1", "slots": 8,
                "state": "ready", "cold_remaining": "0ms", "sequence": 1000,
                "born": upstream.born}

    def send(self, method, body):
        """Returns the status and the text of the answer."""
        status, _, answer = harness.request(
            self.node.listen["control"], method,
            f"/-/instances/{self.left.id}", body,
            {"Content-Type": "application/json"})
        return status, answer.decode()

    def leave(self):
        """The backend server of the first node leaves without draining."""
        self.left.reporting = False
        status, _ = self.send("DELETE", json.dumps({"born": self.left.born}))
        self.assertEqual(status, 200)
        time.sleep(PROPAGATION_S)

    def order_at_both(self, count=20):
        """Returns how many orders the backend server that left has run."""
        runs = len(self.left.runs)
        for number in range(count):
            node = self.fleet.nodes[number % 2]
            answer = common.Consumer(node.listen["outbound"]).ask(
                "POST", "/orders/2f", os.urandom(8).hex(), b"order", 3000)
            self.assertEqual(answer.status, 200)
        return len(self.left.runs) - runs

    def is_routed(self, node):
        routes = harness.get_json(self.fleet.admin_address(node), "/v1/routes")
        return self.left.id in json.dumps(routes)

    # A report without `zone` and `born` brought back a server that had left.
    def test_odd_reports_bring_nothing_back(self):
        self.leave()
        for field, report in odd_reports(self.report_of(self.left)):
            status, answer = self.send("PUT", json.dumps(report))
            self.assertEqual(status, 400, report)
            self.assertIn(f"{field} is", answer, report)
        for body in ("", "{", "[]", "7", "\xff", "[" * 10_000):
            self.assertEqual(self.send("PUT", body.encode("latin-1"))[0], 400)
        time.sleep(PROPAGATION_S)
        self.assertEqual(self.order_at_both(), 0)

    def test_odd_reports_change_nothing_about_a_known_server(self):
        before = self.order_at_both()
        self.assertGreater(before, 0)
        for field, report in odd_reports(self.report_of(self.left)):
            self.assertEqual(self.send("PUT", json.dumps(report))[0], 400)
        time.sleep(PROPAGATION_S)
        self.assertGreater(self.order_at_both(), 0)

    # The departure is remembered by the node's restart, and by that of its
    # backend server a later start is known.
    def test_late_report_of_an_earlier_start_brings_nothing_back(self):
        self.leave()
        late = json.dumps(self.report_of(self.left))
        self.send("PUT", late)
        time.sleep(PROPAGATION_S)
        self.assertEqual(self.order_at_both(), 0)
        self.node.kill()
        self.node.start()
        harness.wait_until(self.node.is_ready, 20, "the node is ready")
        self.send("PUT", late)
        time.sleep(PROPAGATION_S)
        self.assertEqual(self.order_at_both(), 0)

        again = self.report_of(self.left)
        again.update(born=int(time.time() * 1000), sequence=1)
        self.assertEqual(self.send("PUT", json.dumps(again))[0], 200)
        self.send("PUT", late)
        for node in self.fleet.nodes:
            harness.wait_until(lambda node=node: self.is_routed(node),
                               PROPAGATION_S, f"{node.name} routes to it")


if __name__ == "__main__":
    unittest.main()
