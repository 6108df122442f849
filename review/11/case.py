"""The store comes back from a copy some seconds old; then a version moves a
route and takes a key away."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import kit3  # noqa: E402

TOUCH_S = 3
PROPAGATION_S = 2.5
OUTER_S = 5
REVOCATION_S = 5
AWAY_S = 1
REQUESTS_PER_NODE = 20
KEPT_KEY = "kept-key"
TAKEN_KEY = "taken-key"


def tenants(keys):
    return [{"name": "crews", "api_keys": keys}]


def bearer(key):
    return [("Authorization", f"Bearer {key}")]


def drill(fleet, saved, newest):
    """The store loses what was written since the copy; the operator writes
    its newest version again."""
    fleet.store.go_down()
    time.sleep(AWAY_S)
    fleet.store.restore(saved)
    fleet.record.write("operator: writes its newest version again")
    fleet.store.put("config", "main", newest)


def send_requests(fleet, key, name):
    """Returns the services that ran the requests, and counts the refusals."""
    services = {}
    for node in fleet.nodes:
        for i in range(REQUESTS_PER_NODE):
            request_id = f"{name}-{node.name}-{i}"
            try:
                answer = kit3.exchange(node.outbound, "GET", "/r/x",
                                       request_id, bearer(key))
                result = (answer.body.split()[0].decode()
                          if answer.status == 200 else str(answer.status))
            except OSError as error:
                result = type(error).__name__
            fleet.record.write(f"client at {node.name}: {request_id} "
                               f"-> {result}")
            services[result] = services.get(result, 0) + 1
    fleet.record.write(f"client: {name}: {services}")
    print(name, services)
    return services


def case(fleet):
    for name, service in [("n1", "alpha"), ("n2", "beta"), ("n3", "alpha")]:
        fleet.add(name, service)
    keys = tenants([KEPT_KEY, TAKEN_KEY])
    routes = {"/r/": {"service": "alpha"}, "/s/": {"service": "beta"}}
    fleet.put_configuration(routes, keys)
    for node in fleet.nodes:
        fleet.start(node)
    for node in fleet.nodes:
        for path in ["/r/x", "/s/x"]:
            fleet.await_serving(node, path, bearer(KEPT_KEY))
    time.sleep(TOUCH_S)

    saved = fleet.store.take_copy()
    for timeout in ["1000ms", "1100ms", "900ms"]:
        time.sleep(0.8)
        routes["/s/"] = {"service": "beta", "timeout": timeout}
        newest = fleet.put_configuration(routes, keys)
    time.sleep(1)
    if kit3.has_trouble():
        drill(fleet, saved, newest)
    else:
        time.sleep(AWAY_S)
    time.sleep(1)
    calls = fleet.store.calls
    time.sleep(TOUCH_S + PROPAGATION_S)
    fleet.record.write(f"store: {fleet.store.calls - calls} calls in "
                       f"{TOUCH_S + PROPAGATION_S} s")
    print(f"{fleet.store.calls - calls} calls to the store in "
          f"{TOUCH_S + PROPAGATION_S} s")
    before = send_requests(fleet, TAKEN_KEY, "before")
    if before != {"alpha": REQUESTS_PER_NODE * len(fleet.nodes)}:
        raise kit3.CannotRun("the fleet does not serve before the change")

    routes["/r/"] = {"service": "beta"}
    fleet.put_configuration(routes, tenants([KEPT_KEY]))
    time.sleep(max(PROPAGATION_S, REVOCATION_S) + OUTER_S)
    moved = send_requests(fleet, KEPT_KEY, "moved-route")
    taken = send_requests(fleet, TAKEN_KEY, "taken-key")
    return "alpha" not in moved and not {"alpha", "beta"} & set(taken)


kit3.main(case)
