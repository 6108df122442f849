"""Checks the histories of real processes under injected faults."""

import time
import unittest

import harness
import scenario

SERVICES = ["catalogue", "order-desk", "upload-counter", "catalogue",
            "order-desk", "upload-counter"]
DECLARATIONS = harness.ROOT / "examples" / "liushu" / "declarations"
SEED = 20261204

LOAD = [
    {"name": "orders", "method": "POST", "path": "/orders?ms=20",
     "per_second": 20, "body_bytes": 300, "deadline_ms": 2000,
     "idempotency_keys": True},
    {"name": "lookups", "path": "/catalogue/willow?bytes=3000",
     "per_second": 40, "deadline_ms": 1000},
    {"name": "uploads", "method": "PUT", "path": "/uploads/7",
     "per_second": 2, "body_bytes": 300000, "body_ms": 2500,
     "deadline_ms": 8000},
]


# Orders that callers resend under one idempotency key until the outcome is
# known. Each takes 200 ms, so that some are running when a fault starts.
RESENT_ORDERS = [LOAD[0] | {"path": "/orders?ms=200", "per_second": 40,
                            "resends": 3, "resend_pause_ms": 200}]


class FaultsTest(unittest.TestCase):

    def start_scenario(self, name):
        run = scenario.Scenario(name, harness.small_topology(*SERVICES),
                                DECLARATIONS)
        self.addCleanup(run.__exit__, None, None, None)
        run.start()
        return run

    def check(self, run):
        """Checks the guarantees; saves the history if one is violated."""
        try:
            run.check_guarantees()
        except AssertionError:
            run.save_history()
            raise

    def kill_two_vms(self, run, classes):
        """Kills two VMs under load, applies a change and restarts them."""
        load = run.start_load(classes, 8, SEED)
        time.sleep(1)
        with run.record_fault("kill", "n2", "n3", "n2-server", "n3-server"):
            run.kill_vm("n2")
            run.kill_vm("n3")
            run.apply("n1")
            run.start_vm("n2")
            run.start_vm("n3")
        run.finish_load(load)
        self.check(run)

    def freeze_node(self, run, classes):
        """Freezes a node beyond its lease while a change is applied."""
        load = run.start_load(classes, 8, SEED)
        time.sleep(1)
        with run.record_fault("freeze", "n1"):
            run.fleet.nodes["n1"].freeze()
            run.apply("n2")
            time.sleep(4)
            run.fleet.nodes["n1"].thaw()
        run.finish_load(load)
        self.check(run)

    def test_killed_vms_come_back_with_what_they_had_served(self):
        self.kill_two_vms(self.start_scenario("killed_vms"), LOAD)

    def test_resent_orders_run_once_when_vms_die(self):
        self.kill_two_vms(self.start_scenario("resent_killed"), RESENT_ORDERS)

    def test_frozen_node_catches_up(self):
        self.freeze_node(self.start_scenario("frozen_node"), LOAD)

    def test_resent_orders_run_once_when_a_node_freezes(self):
        self.freeze_node(self.start_scenario("resent_frozen"), RESENT_ORDERS)

    def test_domain_cut_from_the_platform_follows_its_peers(self):
        run = self.start_scenario("domain_cut")
        link = run.fleet.platform_links["c"]
        link.cut()
        revision = run.apply("n1")
        run.fleet.wait_revision(revision, 3)
        link.heal()
        link.silence()
        revision = run.apply("n2")
        run.fleet.wait_revision(revision, 3)
        link.heal()
        time.sleep(3)
        self.check(run)

    def test_silent_connections_are_replaced(self):
        run = self.start_scenario("silent_connections")
        lookups = [LOAD[1] | {"per_second": 100}]
        run.finish_load(run.start_load(lookups, 1, SEED))
        with run.record_fault("silence", "n1-server", "n4-server"):
            run.fleet.backend_faults("n1", silence_open=True)
            run.fleet.backend_faults("n4", silence_open=True)
            run.finish_load(run.start_load(lookups, 4, SEED))
        report = run.finish_load(run.start_load(lookups, 2, SEED))
        self.assertEqual(report["lookups"]["outcomes"]["ok"],
                         report["lookups"]["sent"])
        self.check(run)

    def test_platform_outage_refuses_changes_and_serves_on(self):
        run = self.start_scenario("platform_outage")
        lookups = [entry for entry in LOAD if entry["name"] == "lookups"]
        load = run.start_load(lookups, 5, SEED)
        run.fleet.platform_faults(outage=True)
        started = time.monotonic()
        refused = run.fleet.ctl("n1", "apply", run.next_declarations())
        self.assertNotEqual(refused.returncode, 0)
        self.assertLess(time.monotonic() - started, 10)
        time.sleep(2)
        run.fleet.platform_faults(outage=False)
        report = run.finish_load(load)
        self.assertEqual(report["lookups"]["outcomes"]["ok"],
                         report["lookups"]["sent"])
        run.apply("n1")
        time.sleep(3)
        self.check(run)

    def test_lost_answer_makes_no_second_change(self):
        run = self.start_scenario("lost_answer")
        before = run.record_accepted("n1")
        run.fleet.platform_faults(lose_answers=3)
        folder = run.next_declarations()
        harness.wait_until(
            lambda: run.fleet.ctl("n1", "apply", folder).returncode == 0, 20,
            "apply succeeds after lost answers")
        self.assertEqual(run.record_accepted("n1"), before + 1)
        time.sleep(3)
        self.check(run)

    def test_planned_stops_cut_nothing(self):
        run = self.start_scenario("planned_stops")
        callers = [vm.caller for vm in run.fleet.topology.vms
                   if vm.node != "n4"]
        load = run.start_load(LOAD, 8, SEED, targets=callers)
        time.sleep(2)
        self.assertEqual(run.stop(run.fleet.backends["n3"]), 0)
        self.assertEqual(run.stop(run.fleet.nodes["n4"]), 0)
        report = run.finish_load(load)
        for name, entry in report.items():
            self.assertEqual(entry["outcomes"]["ok"], entry["sent"],
                             f"{name}: {entry['reasons']}")
        self.check(run)


if __name__ == "__main__":
    unittest.main()
