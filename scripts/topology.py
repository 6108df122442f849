#!/usr/bin/env python3
"""Reads a topology file and writes the settings of its nodes.

A topology lists the backend server VMs of a fleet. Each VM gets PORTS_PER_VM
consecutive loopback ports, since all run as processes on one machine.

    scripts/topology.py examples/liushu/topology.json OUT_DIR
"""

import argparse
import dataclasses
import json
import pathlib

PORTS_PER_VM = 5
SEEDS_PER_DOMAIN = 1


@dataclasses.dataclass(frozen=True)
class Vm:
    """One backend server VM: its node and its backend server."""

    node: str
    domain: str
    service: str
    slots: int
    service_ms: int
    first_port: int

    def address(self, offset):
        return f"127.0.0.1:{self.first_port + offset}"

    @property
    def caller(self):
        return self.address(0)

    @property
    def mesh(self):
        return self.address(1)

    @property
    def peer(self):
        return self.address(2)

    @property
    def admin(self):
        return self.address(3)

    @property
    def backend(self):
        return self.address(4)

    @property
    def backend_id(self):
        return f"{self.node}-server"


@dataclasses.dataclass(frozen=True)
class Topology:
    """A fleet on one machine."""

    name: str
    region: str
    platform: str
    vms: tuple

    def vm(self, node):
        return next(vm for vm in self.vms if vm.node == node)

    def seeds(self):
        """Peer addresses of the first nodes of each failure domain."""
        by_domain = {}
        for vm in self.vms:
            by_domain.setdefault(vm.domain, []).append(vm.peer)
        return [peer for peers in by_domain.values()
                for peer in peers[:SEEDS_PER_DOMAIN]]

    def settings(self, vm, platform=None):
        """The settings of a VM's node, see docs/OPERATIONS.md."""
        return {
            "node": vm.node,
            "region": self.region,
            "domain": vm.domain,
            "labels": {"fleet": self.name, "serves": vm.service},
            "listen": {"caller": vm.caller, "mesh": vm.mesh, "peer": vm.peer,
                       "admin": vm.admin},
            "platform": [platform or self.platform],
            "seeds": [seed for seed in self.seeds() if seed != vm.peer],
            "log_level": "info",
        }


def parse(data, first_port=None):
    """Makes a topology from parsed JSON; the first port is the platform's."""
    port = first_port or data["first_port"]
    vms = tuple(
        Vm(node=entry["node"], domain=entry["domain"],
           service=entry["service"], slots=entry["slots"],
           service_ms=entry["service_ms"],
           first_port=port + 1 + index * PORTS_PER_VM)
        for index, entry in enumerate(data["nodes"]))
    return Topology(name=data["name"], region=data["region"],
                    platform=f"127.0.0.1:{port}", vms=vms)


def load(path, first_port=None):
    return parse(json.loads(pathlib.Path(path).read_text()), first_port)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("topology", type=pathlib.Path)
    parser.add_argument("out_dir", type=pathlib.Path)
    arguments = parser.parse_args()
    topology = load(arguments.topology)
    arguments.out_dir.mkdir(parents=True, exist_ok=True)
    for vm in topology.vms:
        path = arguments.out_dir / f"{vm.node}.json"
        path.write_text(json.dumps(topology.settings(vm), indent=2) + "\n")
    print(f"{len(topology.vms)} settings files in {arguments.out_dir}")


if __name__ == "__main__":
    main()
