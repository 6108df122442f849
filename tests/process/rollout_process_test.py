"""Canary roll-outs through real processes: two nodes beside servers of the old
version, two beside servers of the new one, and a store."""

import json
import os
import threading
import time
import unittest

import harness
import platform_fleet
from platform_fleet import common

SERVICE = "stock"
DURATION_S = 12
CALLERS = 6
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50


class VersionedServer(common.Upstream):
    """A backend server that announces a version. `fails` is asked for each
    request whether the response is a failure."""

    def __init__(self, record, name, version, fails=lambda: False):
        super().__init__(record, SERVICE, name, work_s=0.01)
        self.version, self.fails = version, fails
        self.in_progress = 0

    def report_body(self, state=None, sequence=None):
        body = json.loads(super().report_body(state, sequence))
        return json.dumps({**body, "version": self.version}).encode()

    def run(self, connection, line, fields, rest):
        with self.lock:
            self.in_progress += 1
        try:
            if not self.fails():
                return super().run(connection, line, fields, rest)
            self.note_run(line, fields)
            connection.sendall(common.answer_head(
                fields["request-id"], "Content-Length: 0",
                "500 Internal Server Error"))
            return rest
        finally:
            with self.lock:
                self.in_progress -= 1


class RolloutTest(unittest.TestCase):

    def setUp(self):
        bounds = list(common.BOUNDS)
        self.addCleanup(setattr, common, "BOUNDS", bounds)
        common.BOUNDS = bounds + [f"exposure_share={EXPOSURE_SHARE}",
                                  f"exposure_slack={EXPOSURE_SLACK}",
                                  "rollback=5000ms"]
        self.fleet = platform_fleet.PlatformFleet()
        self.fleet.__enter__()
        self.addCleanup(lambda: self.fleet.__exit__(None, None, None))
        self.store = self.fleet.store
        self.store.on_write = self.write
        self.states = []
        self.old_in_progress = None
        self.old = [VersionedServer(self.fleet.record, f"i-old{i}", "v1")
                    for i in range(2)]
        self.entries = [self.fleet.add(f"n{i}", server)
                        for i, server in enumerate(self.old)]
        self.fleet.start([SERVICE], [("stock", "/stock/", "safe", 1500,
                                      SERVICE)])
        self.stopping = threading.Event()
        self.sent = 0
        self.lock = threading.Lock()

    def write(self, command, parts, body):
        """Conditional writes of a status, beside those of the stand-in."""
        if len(parts) < 3 or parts[2] != "status":
            return self.store.write(command, parts, body)
        with self.store.changed:
            data = json.loads(body)
            known = self.store.objects[(parts[0], parts[1])]
            if data["metadata"]["revision"] != known["metadata"]["revision"]:
                return 409, known
            value = json.loads(json.dumps({**known, "status": data["status"]}))
            self.store.objects[(parts[0], parts[1])] = value
            self.old_in_progress = sum(server.in_progress
                                       for server in self.old)
            self.states.append((time.monotonic(), data["status"]["state"]))
            return 200, self.store._changed((parts[0], parts[1]), value, False)

    def add_new_servers(self, fails):
        new = [VersionedServer(self.fleet.record, f"i-new{i}", "v2", fails)
               for i in range(2)]
        nodes = [self.fleet.add(f"m{i}", server)
                 for i, server in enumerate(new)]
        for node in nodes:
            node.start()
        for node in nodes:
            harness.wait_until(
                lambda node=node: common.call(node.listen["ready"], "GET",
                                              "/-/readiness") is not None,
                10, "the new node listens")
            node.upstream.report(node.listen["control"])
        return new

    def load(self, entry):
        caller = common.Consumer(entry.listen["outbound"])
        while not self.stopping.is_set():
            try:
                caller.ask("GET", "/stock/a", os.urandom(8).hex())
            except OSError:
                caller.close()
                caller = common.Consumer(entry.listen["outbound"])
            with self.lock:
                self.sent += 1
            time.sleep(0.05)

    def start_load(self):
        for i in range(CALLERS):
            thread = threading.Thread(
                target=self.load, args=(self.entries[i % len(self.entries)],))
            thread.start()
            self.addCleanup(thread.join)
        self.addCleanup(self.stopping.set)

    def start_rollout(self):
        self.store.write("POST", ["rollouts"], json.dumps(
            {"metadata": {"name": SERVICE},
             "specification": {"service": SERVICE, "target_version": "v2",
                               "duration": f"{DURATION_S}s"}}))
        self.started = time.monotonic()
        self.sent = 0

    def await_final_state(self):
        harness.wait_until(
            lambda: any(state != "running" for _, state in self.states),
            DURATION_S + 3, "the roll-out is decided")
        return self.states[-1]

    # Guards against a completion that loses requests: the old servers stop at
    # once when it is written.
    def test_good_version_is_completed_in_time(self):
        self.start_load()
        new = self.add_new_servers(lambda: False)
        time.sleep(2.5)
        self.start_rollout()
        decided, state = self.await_final_state()
        self.assertEqual([state for _, state in self.states],
                         ["running", "completed"])
        self.assertLess(decided - self.started, DURATION_S)
        self.assertEqual(self.old_in_progress, 0)
        time.sleep(1)
        for server in self.old:
            self.assertEqual([run for run in server.runs if run[0] > decided],
                             [])
        self.assertGreater(sum(len(server.runs) for server in new), 0)

    def judge(self):
        """The node whose log says last that it became the judge."""
        for node in self.fleet.nodes:
            log = self.fleet.settings_path(node).with_suffix(".log")
            events = [json.loads(line) for line in
                      log.read_text(errors="replace").splitlines()
                      if '"rollout_judge"' in line]
            if events and events[-1]["is_judge"]:
                return node
        return None

    # Guards against a roll-out that stays undecided, or starts anew, when the
    # node that judges it is killed.
    def test_roll_out_survives_the_judge(self):
        self.start_load()
        self.add_new_servers(lambda: False)
        time.sleep(2.5)
        self.start_rollout()
        time.sleep(3)
        self.judge().kill()
        decided, _ = self.await_final_state()
        self.assertEqual([state for _, state in self.states],
                         ["running", "completed"])
        self.assertLess(decided - self.started, DURATION_S)

    # Guards against a bad version that stays, or gets more than its share.
    def test_bad_version_is_rolled_back(self):
        self.start_load()
        fails = iter(range(1 << 30))
        new = self.add_new_servers(lambda: next(fails) % 2 == 0)
        self.start_rollout()
        before = sum(len(server.runs) for server in new)
        decided, state = self.await_final_state()
        self.assertEqual([state for _, state in self.states],
                         ["running", "rolled_back"])
        self.assertLess(decided - self.started, DURATION_S)
        time.sleep(1.5)
        for server in new:
            late = [run for run in server.runs if run[0] > decided + 0.5]
            self.assertEqual(late, [])
        exposed = sum(len(server.runs) for server in new) - before
        self.assertLessEqual(exposed,
                             EXPOSURE_SHARE * self.sent + EXPOSURE_SLACK)


if __name__ == "__main__":
    unittest.main()
