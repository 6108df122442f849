"""Checks that the checker names each violated guarantee, and only those."""

import copy
import unittest

import checker

SECOND = checker.SECOND_US


def state(t_us, node="n1", **changes):
    event = {"event": "node_state", "t_us": t_us, "node": node, "life": 1,
             "ready": True, "revision": 1, "content": "c1",
             "services": ["orders"],
             "routes": [{"rule": "r", "service": "orders", "published": True,
                         "backend_servers": ["s1"]}],
             "known_servers": ["s1"]}
    return event | changes


def run(event, t_us, request, server="s1", key="", method="POST"):
    return {"event": event, "t_us": t_us, "server": server,
            "service": "orders", "run": 1, "request": request, "key": key,
            "method": method, "path": "/orders"}


def call_start(t_us, request, key=""):
    return {"event": "call_start", "t_us": t_us, "request": request,
            "key": key, "class": "orders", "method": "POST",
            "path": "/orders", "target": "n1", "attempt": 1}


def call_end(t_us, request, outcome="ok", reason="", answer_to=None):
    return {"event": "call_end", "t_us": t_us, "request": request,
            "outcome": outcome, "reason": reason, "status": 200,
            "answer_to": answer_to or request}


# A valid history: two revisions, an order, a refusal, and a planned stop of a
# server that drains with a request in flight.
VALID_HISTORY = [
    {"event": "node_up", "t_us": 0, "node": "n1", "life": 1},
    {"event": "server_up", "t_us": 0, "server": "s1", "service": "orders"},
    {"event": "accepted", "t_us": 100, "revision": 1, "content": "c1"},
    state(1 * SECOND),
    {"event": "accepted", "t_us": 2 * SECOND, "revision": 2,
     "content": "c2"},
    state(3 * SECOND, revision=2, content="c2"),
    call_start(3 * SECOND, "a.1", key="k1"),
    run("run_start", 3 * SECOND + 1, "a.1", key="k1"),
    run("run_end", 3 * SECOND + 2, "a.1", key="k1"),
    call_end(3 * SECOND + 3, "a.1"),
    call_start(3 * SECOND + 4, "b.1"),
    call_end(3 * SECOND + 5, "b.1", "not_run", "queue_full"),
    call_start(4 * SECOND, "c.1"),
    run("run_start", 4 * SECOND + 1, "c.1"),
    {"event": "server_draining", "t_us": 4 * SECOND + 2, "server": "s1",
     "service": "orders"},
    {"event": "stop_start", "t_us": 4 * SECOND + 2, "process": "s1"},
    run("run_end", 9 * SECOND, "c.1"),
    call_end(9 * SECOND + 1, "c.1"),
    {"event": "stop_end", "t_us": 9 * SECOND + 2, "process": "s1",
     "status": 0},
    state(10 * SECOND, revision=2, content="c2"),
]


def violated_by(*events):
    """Names of the guarantees that a valid history violates with `events`."""
    history = copy.deepcopy(VALID_HISTORY) + list(events)
    return {violation.guarantee for violation in checker.check(history)}


class CheckerTest(unittest.TestCase):

    def test_valid_history_passes(self):
        self.assertEqual(violated_by(), set())

    def test_older_revision_after_a_restart_is_caught(self):
        self.assertEqual(violated_by(state(11 * SECOND, life=2)),
                         {"version-order"})

    def test_node_that_is_not_ready_may_be_behind(self):
        self.assertEqual(
            violated_by(state(11 * SECOND, life=2, ready=False, revision=0,
                              content="")), set())

    def test_route_to_an_unknown_server_is_caught(self):
        self.assertEqual(
            violated_by(state(11 * SECOND, revision=2, content="c2",
                              known_servers=[])), {"no-dangling-route"})

    def test_route_to_an_undeclared_service_is_caught(self):
        self.assertEqual(
            violated_by(state(11 * SECOND, revision=2, content="c2",
                              services=[])), {"no-dangling-route"})

    def test_published_route_without_a_server_is_caught(self):
        routes = [{"rule": "r", "service": "orders", "published": True,
                   "backend_servers": []}]
        self.assertEqual(
            violated_by(state(11 * SECOND, revision=2, content="c2",
                              routes=routes)), {"no-dangling-route"})

    def test_mixture_of_two_revisions_is_caught(self):
        self.assertEqual(
            violated_by(state(11 * SECOND, revision=2, content="c1")),
            {"all-or-nothing"})

    def test_wrong_answer_is_caught(self):
        self.assertEqual(
            violated_by(call_start(11 * SECOND, "d.1"),
                        call_end(11 * SECOND + 1, "d.1", "wrong")),
            {"whole-own-answer"})

    def test_answer_to_another_request_is_caught(self):
        self.assertEqual(
            violated_by(call_start(11 * SECOND, "d.1"),
                        call_end(11 * SECOND + 1, "d.1", answer_to="e.1")),
            {"whole-own-answer"})

    def test_stored_answer_to_an_earlier_attempt_is_allowed(self):
        self.assertEqual(
            violated_by(call_start(11 * SECOND, "d.2"),
                        call_end(11 * SECOND + 1, "d.2", answer_to="d.1")),
            set())

    def test_false_not_run_is_caught(self):
        self.assertEqual(
            violated_by(run("run_start", 3 * SECOND + 4, "b.1")),
            {"not-run-is-true"})

    def test_second_run_under_one_key_is_caught(self):
        self.assertEqual(
            violated_by(run("run_start", 3 * SECOND + 9, "a.2", "s2", "k1")),
            {"at-most-once"})

    def test_second_run_of_one_attempt_is_caught(self):
        self.assertEqual(
            violated_by(run("run_start", 4 * SECOND + 2, "c.1", "s2")),
            {"at-most-once"})

    def test_idempotent_request_may_run_twice(self):
        self.assertEqual(
            violated_by(run("run_start", 4 * SECOND, "g.1", "s2", "", "GET"),
                        run("run_start", 4 * SECOND, "g.1", "s3", "", "GET")),
            set())

    def test_late_request_to_a_draining_server_is_caught(self):
        for event in ("run_received", "run_shed"):
            self.assertEqual(violated_by(run(event, 7 * SECOND, "d.1")),
                             {"no-work-after-leave"})

    def test_upload_received_before_the_drain_may_start_late(self):
        self.assertEqual(
            violated_by(run("run_received", 4 * SECOND, "d.1", method="PUT"),
                        run("run_start", 8 * SECOND, "d.1", method="PUT")),
            set())

    def test_restarted_server_may_receive_requests(self):
        self.assertEqual(
            violated_by({"event": "server_up", "t_us": 11 * SECOND,
                         "server": "s1", "service": "orders"},
                        run("run_received", 12 * SECOND, "d.1")), set())

    def test_call_interrupted_by_a_planned_stop_is_caught(self):
        self.assertEqual(
            violated_by(call_start(5 * SECOND, "d.1"),
                        call_end(6 * SECOND, "d.1", "unknown",
                                 "connection_broken")),
            {"planned-stop-cuts-nothing"})

    def test_call_interrupted_by_a_fault_is_allowed(self):
        self.assertEqual(
            violated_by({"event": "fault_start", "t_us": 5 * SECOND,
                         "fault": "kill", "targets": ["n2"]},
                        {"event": "fault_end", "t_us": 5 * SECOND + 9,
                         "fault": "kill", "targets": ["n2"]},
                        call_start(5 * SECOND, "d.1"),
                        call_end(6 * SECOND, "d.1", "unknown",
                                 "connection_broken")), set())

    def test_run_cancelled_by_a_drain_is_caught(self):
        self.assertEqual(violated_by(run("run_cancel", 5 * SECOND, "d.1")),
                         {"planned-stop-cuts-nothing"})

    def test_planned_stop_with_bad_exit_status_is_caught(self):
        self.assertEqual(
            violated_by({"event": "stop_start", "t_us": 11 * SECOND,
                         "process": "s2"},
                        {"event": "stop_end", "t_us": 12 * SECOND,
                         "process": "s2", "status": 1}),
            {"planned-stop-cuts-nothing"})

    def test_revision_that_is_late_is_caught(self):
        self.assertEqual(
            violated_by({"event": "accepted", "t_us": 11 * SECOND,
                         "revision": 3, "content": "c3"},
                        state(15 * SECOND, revision=2, content="c2")),
            {"in-force-and-kept"})

    def test_node_without_recorded_states_is_caught(self):
        self.assertEqual(
            violated_by({"event": "node_up", "t_us": 0, "node": "n2",
                         "life": 1}), {"in-force-and-kept"})

    def test_frozen_node_may_catch_up_after_the_fault(self):
        fault = {"fault": "freeze", "targets": ["n1"]}
        self.assertEqual(
            violated_by({"event": "fault_start", "t_us": 11 * SECOND} | fault,
                        {"event": "accepted", "t_us": 12 * SECOND,
                         "revision": 3, "content": "c3"},
                        {"event": "fault_end", "t_us": 20 * SECOND} | fault,
                        state(21 * SECOND, revision=3, content="c3"),
                        state(25 * SECOND, revision=3, content="c3")), set())

    def test_one_revision_with_two_contents_is_caught(self):
        self.assertIn(
            "in-force-and-kept",
            violated_by({"event": "accepted", "t_us": 9 * SECOND,
                         "revision": 2, "content": "c9"}))


if __name__ == "__main__":
    unittest.main()
