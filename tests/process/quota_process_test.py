"""The rate limit of a team over several real nodes."""

import hashlib
import json
import shutil
import time
import unittest

import harness

SERVICES = ["catalogue", "catalogue", "order-desk", "upload-counter"]
DECLARATIONS = harness.ROOT / "examples" / "liushu" / "declarations"

KEY = "key-of-the-surveyors"
RATE = 20
TEAM = {"kind": "team", "name": "surveyors",
        "key_digests": [hashlib.sha256(KEY.encode()).hexdigest()],
        "requests_per_s": RATE, "burst": RATE}
FLOOD_S = 4


class QuotaTest(unittest.TestCase):

    def setUp(self):
        self.fleet = harness.Fleet(harness.small_topology(*SERVICES))
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        folder = self.fleet.work_dir / "declarations"
        shutil.copytree(DECLARATIONS, folder)
        (folder / "teams.json").write_text(json.dumps([TEAM]))
        result = self.fleet.ctl("n1", "apply", folder)
        self.assertEqual(result.returncode, 0, result.stderr)
        self.fleet.wait_ready()
        self.fleet.wait_backends()

    def send(self, vm):
        return harness.request(vm.caller, "GET", "/catalogue/1",
                               headers={"Authorization": "Bearer " + KEY})

    def test_flood_at_all_nodes_stays_within_the_limit(self):
        # The buckets start empty, and new holders wait for a second.
        time.sleep(3)
        counts = {}
        end = time.monotonic() + FLOOD_S
        turn = 0
        while time.monotonic() < end:
            vm = self.fleet.topology.vms[turn % len(SERVICES)]
            turn += 1
            status, headers, _ = self.send(vm)
            counts[status] = counts.get(status, 0) + 1
            if status == 429:
                self.assertEqual(headers["x-banyantrail-reason"], "team_quota")
                self.assertGreater(float(headers["retry-after"]), 0)
        bound = (RATE * 5 + RATE) * 1.1 + 20
        self.assertEqual(set(counts), {200, 429}, counts)
        self.assertLessEqual(counts[200], bound, counts)
        # Three quarters of what the limit allows in this time.
        self.assertGreaterEqual(counts[200], 0.75 * RATE * FLOOD_S, counts)
        status = self.fleet.ctl("n1", "status")
        self.assertIn("team surveyors: limit 20", status.stdout)
        self.assertNotIn(KEY, status.stdout)


if __name__ == "__main__":
    unittest.main()
