"""Starts of a node under the users' platform: nothing that happens on its
machine in that time may end the process."""

import os
import signal
import socket
import time
import unittest

import harness
import platform_fleet
from platform_fleet import common

DELAYS_MS = [0, 1, 2, 3, 5, 8, 12, 20, 40, 80]
START_TIMEOUT_S = 10
STOP_TIMEOUT_S = 10


class StartTest(unittest.TestCase):

    def setUp(self):
        self.fleet = platform_fleet.PlatformFleet()
        self.fleet.__enter__()
        self.addCleanup(lambda: self.fleet.__exit__(None, None, None))
        upstream = common.Upstream(self.fleet.record, "stock", "i-stock")
        self.node = self.fleet.add("n1", upstream)

    def listens(self):
        return common.call(self.node.listen["ready"], "GET",
                           "/-/readiness") is not None

    def await_listening(self):
        harness.wait_until(self.listens, START_TIMEOUT_S, "the node listens")

    def log(self):
        path = self.fleet.settings_path(self.node).with_suffix(".log")
        return path.read_text(errors="replace")

    # A reload that came while a process started ended it.
    def test_reload_during_the_start_does_not_end_the_process(self):
        for delay_ms in DELAYS_MS:
            with self.subTest(delay_ms=delay_ms):
                self.node.start()
                time.sleep(delay_ms / 1000)
                self.node.send_signal(signal.SIGHUP)
                self.await_listening()
                self.assertTrue(self.node.is_running())
                self.node.kill()

    def test_stop_during_the_start_ends_the_process_with_status_0(self):
        for delay_ms in DELAYS_MS[3:]:
            with self.subTest(delay_ms=delay_ms):
                self.node.start()
                time.sleep(delay_ms / 1000)
                self.node.send_signal(signal.SIGTERM)
                self.assertEqual(self.node.process.wait(STOP_TIMEOUT_S), 0)

    # The process ended with "Address already in use", and so did each of its
    # restarts.
    def test_waits_for_a_port_that_is_used(self):
        host, port = self.node.listen["outbound"].rsplit(":", 1)
        with socket.create_server((host, 0)) as server, \
                socket.socket() as user:
            user.bind((host, int(port)))
            user.connect(server.getsockname())
            self.node.start()
            time.sleep(2)
            self.assertTrue(self.node.is_running(), self.log())
            self.assertFalse(self.listens())
            self.assertIn(self.node.listen["outbound"], self.log())
            # A reset frees the port at once.
            user.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            b"\x01\0\0\0\0\0\0\0")
        self.await_listening()

    def test_can_be_stopped_while_it_waits_for_a_port(self):
        with socket.create_server(tuple_of(self.node.listen["inbound"])):
            self.node.start()
            time.sleep(1)
            self.node.send_signal(signal.SIGHUP)
            time.sleep(0.2)
            self.assertTrue(self.node.is_running(), self.log())
            self.node.send_signal(signal.SIGTERM)
            self.assertEqual(self.node.process.wait(STOP_TIMEOUT_S), 0)

    # The platform writes the settings file while a process starts.
    def test_settings_that_are_being_written_are_read_again(self):
        self.node.start()
        self.await_listening()
        self.node.kill()
        path = self.fleet.settings_path(self.node)
        whole = path.read_text()
        program = str(harness.NODE_PROGRAM)
        path.write_text(whole[:len(whole) // 2])
        process = harness.Process("half", [program, "--deployment", path],
                                  self.fleet.work_dir)
        process.start()
        self.addCleanup(process.kill)
        time.sleep(0.5)
        self.assertTrue(process.running(), process.log_tail())
        path.write_text(whole)
        self.await_listening()
        process.kill()

    def test_settings_that_stay_invalid_are_reported_with_exit_status_2(self):
        path = self.fleet.work_dir / "invalid.json"
        path.write_text("{")
        process = harness.Process(
            "invalid", [harness.NODE_PROGRAM, "--deployment", path],
            self.fleet.work_dir)
        process.start()
        self.assertEqual(process.wait(), 2)
        self.assertIn("invalid.json", process.log_tail())

    # A node whose log reader had gone ended at its next line.
    def test_closed_log_pipe_does_not_end_the_process(self):
        reader, writer = os.pipe()
        self.node.start()
        self.await_listening()
        self.node.kill()
        path = self.fleet.settings_path(self.node)
        process = harness.subprocess.Popen(
            [str(harness.NODE_PROGRAM), "--deployment", str(path)],
            stdout=writer, stderr=writer, preexec_fn=harness.die_with_parent)
        self.addCleanup(process.kill)
        os.close(writer)
        self.await_listening()
        os.close(reader)
        for _ in range(3):
            process.send_signal(signal.SIGHUP)  # Each writes a line.
            time.sleep(0.2)
        self.assertIsNone(process.poll())


def tuple_of(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


if __name__ == "__main__":
    unittest.main()
