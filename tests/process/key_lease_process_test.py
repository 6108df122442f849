"""Strict revocation: nodes that cannot know the newest configuration refuse
keys."""

import copy
import json
import os
import signal
import time
import types
import unittest

import harness
import platform_fleet
from platform_fleet import common

REVOCATION_S = 1.5
KEY = "secret-1"
ROUTES = [("r-stock", "/stock/", "safe", 1500, "stock"),
          ("r-open", "/open/", "safe", 1500, "stock")]


class KeyLeaseTest(unittest.TestCase):

    def setUp(self):
        bounds = common.BOUNDS
        self.addCleanup(setattr, common, "BOUNDS", bounds)
        common.BOUNDS = bounds + ["strict_revocation=true",
                                  f"revocation={REVOCATION_S}s"]

    def start(self, fleet):
        self.store = fleet.store
        self.upstreams = [common.Upstream(fleet.record, "stock", f"i{number}")
                          for number in (1, 2)]
        self.nodes = [
            fleet.add(f"n{number}", upstream, zone=f"tw-north-{number}")
            for number, upstream in enumerate(self.upstreams, 1)]
        self.cut = harness.Forwarder(fleet.allocate_port(),
                                     self.store.address)
        self.addCleanup(self.cut.close)
        self.nodes[1].store = types.SimpleNamespace(address=self.cut.address)
        fleet.start(["stock"], ROUTES)
        self.put_keys([KEY])
        for node in self.nodes:
            self.await_status(node, 200)

    def put_keys(self, keys):
        self.put_tenants([{"name": "surveyors", "api_keys": keys}])

    def put_tenants(self, tenants):
        specification = copy.deepcopy(
            self.store.objects["config", "main"]["specification"])
        specification["tenants"] = tenants
        for path in specification["virtual_hosts"][0]["paths"]:
            path["allow_anonymous"] = path["name"] == "r-open"
        self.store.write("PUT", ["config", "main"], json.dumps(
            {"metadata": {"name": "main"}, "specification": specification}))

    def ask(self, node, path="/stock/1", key=KEY):
        """The status and the headers of the response."""
        headers = {"Host": common.HOST, "Request-Id": os.urandom(8).hex(),
                   "Deadline-Milliseconds": "1500"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        status, fields, _ = harness.request(node.listen["outbound"], "GET",
                                            path, headers=headers)
        return status, fields

    def await_status(self, node, status):
        harness.wait_until(lambda: self.ask(node)[0] == status, 15,
                           f"{node.name} answers {status}")

    def test_keys_are_refused_without_the_store_and_then_accepted(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            self.store.is_down = True
            for node in self.nodes:
                self.await_status(node, 503)
                _, fields = self.ask(node)
                self.assertLess(float(fields["Retry-After"]), 1)
                self.assertEqual(self.ask(node, "/open/1", None)[0], 200)
                self.assertEqual(self.ask(node, key=None)[0], 401)
            self.store.is_down = False
            for node in self.nodes:
                self.await_status(node, 200)

    # Without any team a node looked at no key, and passed it on.
    def test_removing_the_last_tenant_ends_its_keys(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            self.put_tenants([])
            time.sleep(REVOCATION_S)
            runs = sum(len(upstream.runs) for upstream in self.upstreams)
            for node in self.nodes:
                self.assertEqual(self.ask(node)[0], 401)
                self.assertEqual(self.ask(node, key=None)[0], 401)
            self.assertEqual(
                sum(len(upstream.runs) for upstream in self.upstreams), runs)
            for node in self.nodes:
                self.assertEqual(self.ask(node, "/open/1", None)[0], 200)

    # The second node is the only one of its failure domain.
    def test_node_cut_off_from_the_store_lives_on_another_domain(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            self.cut.silence()
            end = time.monotonic() + 3 * REVOCATION_S
            while time.monotonic() < end:
                self.assertEqual(self.ask(self.nodes[1])[0], 200)
                time.sleep(0.05)

    # The frozen node wakes up with the configuration that has the key.
    def test_removed_key_does_not_run_at_a_node_that_was_frozen(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            frozen, other = self.nodes
            frozen.send_signal(signal.SIGSTOP)
            self.put_keys(["secret-2"])
            removed_at = time.monotonic()
            self.await_status(other, 401)
            time.sleep(max(0, removed_at + REVOCATION_S - time.monotonic()))
            runs = sum(len(upstream.runs) for upstream in self.upstreams)
            frozen.send_signal(signal.SIGCONT)
            for _ in range(20):
                self.assertIn(self.ask(frozen)[0], (401, 503))
            self.await_status(frozen, 401)
            self.assertEqual(
                sum(len(upstream.runs) for upstream in self.upstreams), runs)


if __name__ == "__main__":
    unittest.main()
