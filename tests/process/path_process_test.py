"""Requests and changes through a fleet of real processes without faults."""

import json
import unittest

import harness
import scenario

SERVICES = ["catalogue", "order-desk", "upload-counter", "catalogue",
            "order-desk", "upload-counter"]
DECLARATIONS = harness.ROOT / "examples" / "liushu" / "declarations"

LOAD = [
    {"name": "orders", "method": "POST", "path": "/orders", "per_second": 20,
     "body_bytes": 300, "deadline_ms": 5000, "idempotency_keys": True},
    {"name": "lookups", "path": "/catalogue/willow", "per_second": 60,
     "deadline_ms": 5000},
    {"name": "uploads", "method": "PUT", "path": "/uploads/7",
     "per_second": 4, "body_bytes": 300000, "body_ms": 500,
     "deadline_ms": 10000},
]


class PathTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.scenario = scenario.Scenario(
            "path", harness.small_topology(*SERVICES), DECLARATIONS)
        cls.addClassCleanup(cls.scenario.__exit__, None, None, None)
        cls.scenario.start()
        cls.fleet = cls.scenario.fleet

    def test_any_node_serves_any_request(self):
        for vm in self.fleet.topology.vms:
            for path, service in (("/catalogue/1", "catalogue"),
                                  ("/orders/1", "order-desk"),
                                  ("/uploads/1", "upload-counter")):
                status, _, body = harness.request(
                    vm.caller, "GET", path, headers={"x-test-request-id": "r"})
                response = json.loads(body)
                self.assertEqual((status, response["service"],
                                  response["path"], response["request_id"]),
                                 (200, service, path, "r"))

    def test_request_without_a_route_is_refused_as_not_run(self):
        status, headers, _ = harness.request(
            self.fleet.topology.vms[0].caller, "GET", "/nowhere")
        self.assertEqual((status, headers["x-banyantrail-outcome"]),
                         (404, "not-run"))

    def test_rule_changes_under_load_keep_the_guarantees(self):
        load = self.scenario.start_load(LOAD, 4)
        for vm in self.fleet.topology.vms[:3]:
            self.scenario.apply(vm.node)
        report = self.scenario.finish_load(load)
        for name, entry in report.items():
            self.assertEqual(entry["outcomes"]["ok"], entry["sent"],
                             f"{name}: {entry['reasons']}")
        self.scenario.check_guarantees()

    def test_status_shows_where_a_rule_is_in_force(self):
        def in_force():
            result = self.fleet.ctl("n1", "--output", "json", "status",
                                    "routing_rule/order-commit")
            self.assertEqual(result.returncode, 0, result.stderr)
            proxies = json.loads(result.stdout)["rules"][0]["proxies"]
            return (len(proxies) == len(SERVICES) and all(
                proxy["state"] == "in_force" for proxy in proxies))
        harness.wait_until(in_force, 10,
                           "order-commit is in force on all proxies")

    def test_apply_of_the_same_declarations_changes_nothing(self):
        folder = self.scenario.next_declarations()
        for _ in range(2):
            result = self.fleet.ctl("n1", "apply", folder)
            self.assertEqual(result.returncode, 0, result.stderr)
        before = harness.get_json(self.fleet.topology.vms[0].admin, "/v1/head")
        self.fleet.ctl("n2", "apply", folder)
        after = harness.get_json(self.fleet.topology.vms[0].admin, "/v1/head")
        self.assertEqual(before["revision"], after["revision"])

    def test_port_in_use_is_reported_with_exit_status_2(self):
        vm = self.fleet.topology.vms[0]
        settings = self.fleet.work_dir / f"{vm.node}.json"
        second = harness.Process(
            "second", [harness.NODE_PROGRAM, "--settings", settings],
            self.fleet.work_dir)
        second.start()
        self.assertEqual(second.wait(), 2)
        self.assertIn("127.0.0.1", second.log_tail())


if __name__ == "__main__":
    unittest.main()
