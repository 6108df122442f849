"""banyantrailctl against real nodes: conflicts, lost answers, outages."""

import hashlib
import json
import pathlib
import shutil
import unittest

import harness

DECLARATIONS = harness.ROOT / "examples" / "liushu" / "declarations"
RULE = "routing_rule/order-commit"

OK, REFUSED, UNAVAILABLE, DIFFERENCES = 0, 1, 3, 5
CONVERGENCE_TIMEOUT_S = 10
# The last status summary of a frozen relay becomes stale after 15 s.
STATE_TIMEOUT_S = 25


class CtlTest(unittest.TestCase):

    def setUp(self):
        fleet = harness.Fleet(
            harness.small_topology("order-desk", "catalogue", domains="ab"))
        self.fleet = fleet
        self.addCleanup(fleet.close)
        fleet.start()
        self.folder = self.edited_copy("first")
        self.run_ctl(OK, "apply", self.folder)

    def edited_copy(self, name, old="", new="", source=DECLARATIONS):
        """A copy of the declarations with `old`, if any, replaced by `new`."""
        folder = pathlib.Path(self.fleet.work_dir) / name
        shutil.copytree(source, folder)
        for file in folder.glob("*.json"):
            file.write_text(file.read_text().replace(old or "\0", new))
        return folder

    def run_ctl(self, status, *arguments):
        result = self.fleet.ctl("n1", *arguments)
        self.assertEqual(result.returncode, status,
                         result.stdout + result.stderr)
        return result

    def states(self):
        """The state of RULE by proxy."""
        result = self.run_ctl(OK, "status", RULE, "--output", "json")
        return {entry["proxy"]: entry["state"]
                for entry in json.loads(result.stdout)["rules"][0]["proxies"]}

    def revision(self):
        return self.fleet.revision(self.fleet.topology.vm("n1"))

    def test_changes_from_one_base_merge_or_conflict(self):
        deadline = self.edited_copy("deadline", "5000", "4000")
        share = self.edited_copy("share", '"share_percent": 15',
                                 '"share_percent": 10')
        other = self.edited_copy("other", '"share_percent": 15',
                                 '"share_percent": 12')
        self.run_ctl(OK, "apply", deadline, "--base", "1")
        self.run_ctl(OK, "apply", share, "--base", "1")
        refused = self.run_ctl(REFUSED, "apply", other, "--base", "1")
        self.assertIn("rank/uploads", refused.stderr)
        self.fleet.wait_revision(3, CONVERGENCE_TIMEOUT_S)
        self.run_ctl(OK, "diff", self.edited_copy(
            "both", '"share_percent": 15', '"share_percent": 10',
            source=deadline))

    def test_old_directory_goes_back(self):
        self.run_ctl(OK, "apply", self.edited_copy("new", "5000", "4000"))
        self.fleet.wait_revision(2, CONVERGENCE_TIMEOUT_S)
        self.run_ctl(DIFFERENCES, "diff", self.folder)
        self.run_ctl(OK, "apply", self.folder)
        self.fleet.wait_revision(3, CONVERGENCE_TIMEOUT_S)
        self.run_ctl(OK, "diff", self.folder, "--prune")

    def test_lost_answers_make_one_change(self):
        self.fleet.platform_faults(lose_answers=6)
        self.run_ctl(OK, "apply", self.edited_copy("new", "5000", "4000"))
        history = json.loads(
            self.run_ctl(OK, "history", "--output", "json").stdout)["history"]
        self.assertEqual([entry["revision"] for entry in history], [2, 1])

    def test_outage_is_reported_and_changes_nothing(self):
        self.fleet.wait_revision(1, CONVERGENCE_TIMEOUT_S)
        self.fleet.platform_faults(outage=True)
        self.run_ctl(UNAVAILABLE, "apply",
                     self.edited_copy("new", "5000", "4000"))
        self.assertEqual(set(self.states().values()), {"unknown"})
        self.fleet.platform_faults(outage=False)
        self.assertEqual(self.revision(), 1)

    def test_frozen_proxy_becomes_unknown_and_comes_back(self):
        in_force_everywhere = {"n1": "in_force", "n2": "in_force"}
        harness.wait_until(lambda: self.states() == in_force_everywhere,
                           CONVERGENCE_TIMEOUT_S,
                           "the rule is in force everywhere")
        self.fleet.nodes["n2"].freeze()
        harness.wait_until(lambda: self.states()["n2"] == "unknown",
                           STATE_TIMEOUT_S,
                           "the frozen proxy is unknown")
        self.assertEqual(self.states()["n1"], "in_force")
        self.fleet.nodes["n2"].thaw()
        harness.wait_until(lambda: self.states() == in_force_everywhere,
                           STATE_TIMEOUT_S,
                           "the thawed proxy is in force again")

    def test_dangling_reference_is_refused_by_the_node_too(self):
        """The node checks the merge, whatever banyantrailctl checked."""
        vm = self.fleet.topology.vm("n1")
        head = harness.get_json(vm.admin, "/v1/head")
        status, _, body = harness.request(
            vm.admin, "POST", "/v1/changes", body=json.dumps({
                "change": "remove", "base_revision": head["revision"],
                "deletes": ["rank/orders"],
                "expected": {"rank/orders": "0" * 64}}))
        self.assertEqual(status, 409, body)
        digest = self.digest(head["objects"]["rank/orders"])
        status, _, body = harness.request(
            vm.admin, "POST", "/v1/changes", body=json.dumps({
                "change": "remove", "base_revision": head["revision"],
                "deletes": ["rank/orders"],
                "expected": {"rank/orders": digest}}))
        self.assertEqual(status, 422, body)

    @staticmethod
    def digest(value):
        text = json.dumps(value, sort_keys=True, separators=(",", ":"),
                          ensure_ascii=False)
        return hashlib.sha256(text.encode()).hexdigest()


if __name__ == "__main__":
    unittest.main()
