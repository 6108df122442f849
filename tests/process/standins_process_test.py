"""Checks that the stand-in processes behave as docs/PROTOCOLS.md says."""

import http.client
import json
import pathlib
import tempfile
import threading
import time
import unittest

import harness


class PlatformStandInTest(unittest.TestCase):

    def setUp(self):
        self.ports = harness.PortBlock()
        self.address = f"127.0.0.1:{self.ports.first_port}"
        self.work_dir = tempfile.TemporaryDirectory()
        self.process = harness.Process(
            "platform", [harness.STANDINS / "platform_stand_in", "--listen",
                         self.address, "--writes-per-second", 50],
            self.work_dir.name)
        self.process.start()
        harness.wait_until(
            lambda: harness.get_json(self.address, "/standin/counters"), 10,
            "the platform stand-in answers")

    def tearDown(self):
        self.process.kill()
        self.ports.close()
        self.work_dir.cleanup()

    def put(self, key, value, if_match=None):
        headers = {} if if_match is None else {"If-Match": str(if_match)}
        status, _, body = harness.request(
            self.address, "PUT", f"/objects/{key}",
            json.dumps({"value": value}), headers)
        return status, json.loads(body)

    def set_faults(self, **faults):
        harness.post_json(self.address, "/standin/faults", faults)

    def test_conditional_write_returns_the_current_version(self):
        self.assertEqual(self.put("a", 1, if_match=0), (200, {"version": 1}))
        self.assertEqual(self.put("a", 2, if_match=0), (412, {"version": 1}))

    def test_watch_returns_when_an_object_changes(self):
        self.put("r/a", 1)
        events = []

        def watch():
            events.append(harness.get_json(
                self.address, "/watch?prefix=r/&after=1&wait_ms=5000", 10))
        watcher = threading.Thread(target=watch)
        watcher.start()
        harness.wait_until(
            lambda: harness.get_json(self.address,
                                     "/standin/counters")["waiting"] == 1,
            5, "the watch is pending")
        self.put("other", 1)
        self.put("r/a", 2)
        watcher.join()
        self.assertEqual([e["version"] for e in events[0]["events"]], [3])

    def test_write_takes_effect_though_its_answer_is_lost(self):
        self.set_faults(lose_answers=1)
        with self.assertRaises(http.client.RemoteDisconnected):
            self.put("a", 1)
        self.assertEqual(
            harness.get_json(self.address, "/objects/a")["value"], 1)

    def test_outage_closes_connections_without_effect(self):
        self.set_faults(outage=True)
        with self.assertRaises(http.client.RemoteDisconnected):
            self.put("a", 1)
        self.set_faults(outage=False)
        self.assertIsNone(harness.get_json(self.address, "/objects/a"))

    def test_writes_over_budget_are_refused_and_counted(self):
        statuses = [self.put("a", 1)[0] for _ in range(150)]
        counters = harness.get_json(self.address, "/standin/counters")
        self.assertGreater(statuses.count(429), 0)
        self.assertEqual(counters["rejected"], statuses.count(429))
        self.assertEqual(counters["by_prefix"]["a"], statuses.count(200))

    def test_value_above_one_megabyte_is_refused(self):
        self.assertEqual(self.put("a", "x" * (1 << 20))[0], 413)


class BackendServerStandInTest(unittest.TestCase):

    def setUp(self):
        self.ports = harness.PortBlock()
        self.address = f"127.0.0.1:{self.ports.first_port}"
        self.work_dir = tempfile.TemporaryDirectory()
        self.run_log = pathlib.Path(self.work_dir.name) / "runs.jsonl"
        self.process = harness.Process(
            "backend",
            [harness.STANDINS / "backend_server_stand_in", "--listen",
             self.address, "--admin", f"127.0.0.1:{self.ports.allocate()}",
             "--id", "s1", "--service", "orders", "--slots", 1,
             "--drain-grace-ms", 100, "--run-log", self.run_log],
            self.work_dir.name)
        self.process.start()
        harness.wait_until(
            lambda: harness.get_json(self.address, "/standin/counters"), 10,
            "the backend server stand-in answers")

    def tearDown(self):
        self.process.kill()
        self.ports.close()
        self.work_dir.cleanup()

    def events(self):
        return [json.loads(line)
                for line in self.run_log.read_text().splitlines()]

    def wait_event(self, name):
        harness.wait_until(
            lambda: any(e["event"] == name for e in self.events()), 10,
            f"{name} is in the run log")

    def test_response_echoes_the_request(self):
        _, headers, body = harness.request(
            self.address, "POST", "/orders/7", "hello",
            {"x-test-request-id": "r1"})
        response = json.loads(body)
        self.assertEqual(headers["x-test-request-id"], "r1")
        self.assertEqual((response["method"], response["path"],
                          response["request_id"], response["body_bytes"]),
                         ("POST", "/orders/7", "r1", 5))

    def test_request_beyond_the_slots_is_shed_before_it_runs(self):
        first = threading.Thread(target=harness.request, args=(
            self.address, "GET", "/a?ms=1000"))
        first.start()
        self.wait_event("run_start")
        status, headers, _ = harness.request(self.address, "GET", "/b")
        first.join()
        self.assertEqual((status, headers["x-banyantrail-outcome"]),
                         (503, "not-run"))
        self.assertEqual([e["event"] for e in self.events()
                          if e.get("path") == "/b"], ["run_shed"])

    def test_disconnect_of_the_caller_is_recorded(self):
        with self.assertRaises(TimeoutError):
            harness.request(self.address, "GET", "/a?ms=10000", timeout=0.2)
        self.wait_event("run_cancel")

    def test_run_ends_at_its_deadline(self):
        status, _, _ = harness.request(
            self.address, "GET", "/a?ms=10000",
            headers={"x-banyantrail-deadline-ms": "20"})
        self.assertEqual(status, 504)

    def test_drain_finishes_an_upload_in_flight(self):
        connection = http.client.HTTPConnection(
            *harness.split_address(self.address), timeout=10)
        connection.putrequest("PUT", "/uploads/1")
        connection.putheader("Content-Length", "2000")
        connection.endheaders()
        connection.send(b"x" * 1000)
        harness.wait_until(
            lambda: harness.get_json(self.address,
                                     "/standin/counters")["busy"] == 1,
            10, "the upload occupies the slot")
        self.process.terminate()
        self.wait_event("server_draining")
        time.sleep(0.3)
        connection.send(b"x" * 1000)
        response = json.loads(connection.getresponse().read())
        connection.close()
        self.assertEqual(response["body_bytes"], 2000)
        self.assertEqual(self.process.wait(), 0)
        self.assertEqual(self.events()[-1]["event"], "server_left")

    def test_request_with_the_crash_header_crashes_it(self):
        with self.assertRaises(http.client.RemoteDisconnected):
            harness.request(self.address, "GET", "/a",
                            headers={"x-test-crash": "1"})
        self.assertNotEqual(self.process.wait(), 0)
        self.assertEqual(self.events()[-1]["event"], "run_start")


if __name__ == "__main__":
    unittest.main()
