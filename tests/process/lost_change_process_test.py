"""Changes of the configuration whose news are lost on the way: the nodes have
them in force within the bound all the same."""

import copy
import os
import time
import unittest

import harness
import platform_fleet
from platform_fleet import common

# The users' bound config_propagation, in s.
PROPAGATION_S = 2.5
# Lost watches and silent stores count as a store that is not in touch; the
# bound of a change begins anew when they end.
SILENCE_S = 2
OLD_ROUTES = [("r-stock", "/stock/", "safe", 1500, "stock")]
NEW_ROUTES = OLD_ROUTES + [("r-more", "/more/", "safe", 1500, "stock")]


class LossyStore:
    """Loses answers of a common.Store: `loses(options)` decides by the options
    of a call for objects, after it has waited as long as it would have."""

    def __init__(self, store):
        self.loses = lambda options: False
        self._store = store
        self._read = store.read
        store.read = self.read

    def read(self, parts, options):
        answer = self._read(parts, options)
        if self.loses(options):
            raise ConnectionResetError
        return answer


class LostChangeTest(unittest.TestCase):

    def start(self, fleet):
        self.store = fleet.store
        self.lossy = LossyStore(fleet.store)
        self.nodes = [
            fleet.add(f"n{number}",
                      common.Upstream(fleet.record, "stock", f"i{number}"),
                      zone=f"tw-north-{number // 3}")
            for number in range(1, 5)]
        fleet.start(["stock"], OLD_ROUTES)
        time.sleep(1)

    @staticmethod
    def ask(node):
        """The status of a request that only the new version has a route for."""
        headers = {"Host": common.HOST, "Request-Id": os.urandom(8).hex(),
                   "Deadline-Milliseconds": "1500"}
        return harness.request(node.listen["outbound"], "GET", "/more/1",
                               headers=headers)[0]

    def await_change(self, nodes):
        """All within one bound, which begins now."""
        until = time.monotonic() + PROPAGATION_S
        for node in nodes:
            harness.wait_until(lambda: self.ask(node) == 200,
                               until - time.monotonic(),
                               f"{node.name} has the change in force")

    def change(self):
        self.store.put_configuration(["stock"], NEW_ROUTES, 8)

    def test_watches_that_wait_are_cut_at_the_change(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            self.lossy.loses = lambda options: "watch" in options
            self.change()
            time.sleep(0.05)
            self.lossy.loses = lambda options: False
            self.await_change(self.nodes)

    def test_no_watch_is_answered_for_a_while(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            self.lossy.loses = lambda options: "watch" in options
            self.change()
            time.sleep(SILENCE_S)
            self.lossy.loses = lambda options: False
            self.await_change(self.nodes)

    def test_watcher_is_killed_at_the_change(self):
        """Whichever node watches: each one in turn."""
        for number in range(4):
            with self.subTest(killed=number + 1), \
                    platform_fleet.PlatformFleet() as fleet:
                self.start(fleet)
                self.change()
                self.nodes[number].kill()
                self.await_change(self.nodes[:number] +
                                  self.nodes[number + 1:])

    def test_node_starts_while_reads_may_show_an_older_copy(self):
        with platform_fleet.PlatformFleet() as fleet:
            self.start(fleet)
            older = copy.deepcopy(self.store.objects["config", "main"])
            lossless_read = self.store.read

            def read(parts, options):
                if parts == ["config", "main"] and "stale_ok" in options:
                    return 200, older
                return lossless_read(parts, options)

            self.store.read = read
            self.change()
            self.await_change(self.nodes)
            node = self.nodes[3]
            node.kill()
            node.start()
            harness.wait_until(node.is_ready, 10, "the node is ready")
            self.await_change([node])


if __name__ == "__main__":
    unittest.main()
