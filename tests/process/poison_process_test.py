"""Checks that a request that crashes backend servers is quarantined.

Its caller keeps resending it; without quarantine each attempt would crash one
more backend server.
"""

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


class PoisonTest(unittest.TestCase):

    def test_crashing_request_is_quarantined(self):
        topology = harness.small_topology(*SERVICES)
        with harness.Fleet(topology) as fleet:
            fleet.start()
            result = fleet.ctl("n1", "apply", DECLARATIONS)
            self.assertEqual(result.returncode, 0, result.stderr)
            fleet.wait_ready()
            fleet.wait_backends()
            last_reason = self.send_poison(fleet)
            crashed = [name for name, process in fleet.backends.items()
                       if not process.running()]
            self.assertLessEqual(len(crashed), MAX_CRASHES, crashed)
            self.assertEqual(last_reason, "quarantined")
            self.check_other_orders(fleet)

    def send_poison(self, fleet):
        """Resends the crashing request; returns the last refusal's reason."""
        reason = None
        for attempt in range(ATTEMPTS):
            vm = fleet.topology.vms[attempt % len(SERVICES)]
            response = harness.request(
                vm.caller, "POST", "/orders", b"poison",
                {"x-test-crash": "1"}, timeout=10)
            reason = response[1].get("x-banyantrail-reason")
            time.sleep(QUARANTINE_PROPAGATION_S / 5)
        return reason

    def check_other_orders(self, fleet):
        """Checks that the remaining servers still serve other orders."""
        for vm in fleet.topology.vms:
            status = harness.request(vm.caller, "POST", "/orders", b"honest",
                                     timeout=10)[0]
            self.assertEqual(status, 200, vm.node)


if __name__ == "__main__":
    unittest.main()
