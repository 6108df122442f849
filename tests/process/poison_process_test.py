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
CRASHES_AT_MOST = 2
RESENDS = 12
KNOWN_EVERYWHERE_S = 1


class PoisonTest(unittest.TestCase):

    def test_request_that_crashes_servers_is_refused_to_its_resenders(self):
        topology = harness.small_topology(*SERVICES)
        with harness.Fleet(topology) as fleet:
            fleet.start()
            result = fleet.ctl("n1", "apply", DECLARATIONS)
            self.assertEqual(result.returncode, 0, result.stderr)
            fleet.wait_ready()
            fleet.wait_backends()
            last = self.send_poison(fleet)
            crashed = [name for name, process in fleet.backends.items()
                       if not process.running()]
            self.assertLessEqual(len(crashed), CRASHES_AT_MOST, crashed)
            self.assertEqual(last, "quarantined")
            self.check_innocent(fleet)

    def send_poison(self, fleet):
        """Resends the crashing request; returns the last refusal's reason."""
        reason = None
        for attempt in range(RESENDS):
            vm = fleet.topology.vms[attempt % len(SERVICES)]
            answer = harness.request(
                vm.caller, "POST", "/orders", b"poison",
                {"x-test-crash": "1"}, timeout=10)
            reason = answer[1].get("x-banyantrail-reason")
            time.sleep(KNOWN_EVERYWHERE_S / 5)
        return reason

    def check_innocent(self, fleet):
        """Checks that the remaining servers still serve other orders."""
        for vm in fleet.topology.vms:
            status = harness.request(vm.caller, "POST", "/orders", b"honest",
                                     timeout=10)[0]
            self.assertEqual(status, 200, vm.node)


if __name__ == "__main__":
    unittest.main()
