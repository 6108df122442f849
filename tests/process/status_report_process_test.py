"""Status reports of another writer: they name no backend server, and change
nothing about those that are known or have left. And what a node itself reports
of the configuration and of the store."""

import json
import os
import subprocess
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

    def status_of(self, node):
        return harness.get_json(self.fleet.admin_address(node), "/v1/status")

    def metrics_of(self, node):
        _, _, text = harness.request(self.fleet.admin_address(node), "GET",
                                     "/metrics")
        return dict(line.rsplit(" ", 1) for line in text.decode().splitlines()
                    if not line.startswith("#"))

    def ctl_status_of(self, node, output="text"):
        return subprocess.run(
            [str(harness.CTL_PROGRAM), "--node",
             self.fleet.admin_address(node), "--output", output, "status"],
            capture_output=True, text=True, timeout=10, check=True).stdout

    def write_version(self, version):
        """Returns what the store shows from now on."""
        self.fleet.store.put_configuration(
            ["orders"], [("r-orders", "/orders/", "unsafe", TIMEOUT_MS,
                          "orders")], version=version)
        return {"revision": self.fleet.store.revision,
                "version": f"{version:08x}", "era": 0}

    def watchers_that_show(self, shown):
        """Nodes that read the store themselves, if all of those show that."""
        stores = [(node, self.status_of(node)["store"])
                  for node in self.fleet.nodes]
        read = [node for node, store in stores if store is not None]
        agree = all(store in (None, shown) for _, store in stores)
        return read if agree else []

    def check_applied(self, applied):
        def is_applied(node):
            status = self.status_of(node)
            return applied == {name: status[name] for name in applied}
        for node in self.fleet.nodes:
            harness.wait_until(lambda node=node: is_applied(node),
                               PROPAGATION_S, f"{node.name} applies it")
            status = self.status_of(node)
            self.assertEqual(status["known"], applied)
            self.assertIsNone(status["refused"])
            self.assertEqual(
                float(self.metrics_of(node)["banyantrail_applied_version"]),
                int(applied["version"], 16))
            self.assertIn(f"version {applied['version']}",
                          self.ctl_status_of(node))

    def check_store(self, shown, is_behind):
        """What the nodes report that read the store themselves; the others
        don't know it."""
        harness.wait_until(lambda: self.watchers_that_show(shown),
                           PROPAGATION_S, "a node shows the store")
        watchers = self.watchers_that_show(shown)
        for node in self.fleet.nodes:
            status = self.status_of(node)
            metrics = self.metrics_of(node)
            reports_it = is_behind and node in watchers
            self.assertIs(status["store_is_behind"], reports_it)
            self.assertEqual(float(metrics["banyantrail_store_is_behind"]),
                             reports_it)
            self.assertEqual(float(metrics["banyantrail_store_era"]), 0)
            self.assertEqual("Write the newest version again"
                             in self.ctl_status_of(node), reports_it)
            as_json = json.loads(self.ctl_status_of(node, "json"))
            self.assertEqual(as_json["store"], status["store"])
            self.assertIs(as_json["store_is_behind"], reports_it)

    # Neither the version nor what the store shows could be read from a node
    # that keeps a configuration in force while the store shows an older one.
    def test_status_names_versions_and_a_store_that_is_behind(self):
        first = self.write_version(0x1a)
        self.check_applied(first)
        self.check_store(first, is_behind=False)

        older = self.write_version(0x19)
        self.check_store(older, is_behind=True)
        self.check_applied(first)

        again = self.write_version(0x1b)
        self.check_applied(again)
        self.check_store(again, is_behind=False)

    # It has no version that says whether it is newer than the one in force, but
    # it was written later.
    def test_unreadable_configuration_without_version_is_refused(self):
        applied = self.write_version(0x1a)
        self.check_applied(applied)
        self.fleet.store.write("PUT", ["config", "main"], json.dumps(
            {"metadata": {"name": "main"},
             "specification": {"virtual_hosts": "none"}}))
        revision = self.fleet.store.revision

        def is_refused(node):
            refused = self.status_of(node)["refused"]
            return refused and refused["revision"] == revision

        for node in self.fleet.nodes:
            harness.wait_until(lambda node=node: is_refused(node),
                               PROPAGATION_S, f"{node.name} refuses it")
            status = self.status_of(node)
            self.assertEqual(applied,
                             {name: status[name] for name in applied})
        good = self.write_version(0x1b)
        for node in self.fleet.nodes:
            harness.wait_until(
                lambda node=node: self.status_of(node)["refused"] is None,
                PROPAGATION_S, f"{node.name} reports no refusal")
        self.check_applied(good)


if __name__ == "__main__":
    unittest.main()
