"""A deployment on one machine: platform, links, endpoints and gateways as local processes."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from itertools import permutations
from typing import TYPE_CHECKING
from typing import Any

from primroseferry_cli.key_value_session import open_plan_store
from primroseferry_core.plan_format import parse_yaml

from .process import POLL_INTERVAL_S
from .process import Process
from .process import ProcessError
from .process import start_gateway
from .process import start_standin

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from primroseferry_cli.plan_store import ApplyOutcome

WAIT_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class EndpointShape:
    """An endpoint to start.

    ``serves`` is its model or service. ``options`` are command-line options of its stand-in.
    """

    name: str
    region: str
    serves: str
    is_engine: bool = True
    options: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DeploymentShape:
    """The processes to start and their settings.

    The key-value service and the directory are in the first region. ``link_delay_ms`` is the
    one-way delay; with ``None``, no links start and regions reach each other directly.
    """

    regions: tuple[str, ...]
    gateways_per_region: int
    endpoints: tuple[EndpointShape, ...]
    plans: str
    clients: dict[str, dict[str, str]]
    link_delay_ms: float | None = None
    gateway_options: tuple[str, ...] = ()


@dataclass(slots=True)
class Deployment:
    """The processes of a deployment by name; ``regions`` maps gateways and endpoints to regions."""

    shape: DeploymentShape
    key_value: Process
    directory: Process
    links: dict[tuple[str, str], Process] = field(default_factory=dict)
    endpoints: dict[str, Process] = field(default_factory=dict)
    gateways: dict[str, Process] = field(default_factory=dict)
    regions: dict[str, str] = field(default_factory=dict)

    def __enter__(self) -> Deployment:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Kill every process."""
        groups = (self.gateways, self.endpoints, self.links)
        for process in [*(row for group in groups for row in group.values())]:
            process.kill()
        self.directory.kill()
        self.key_value.kill()

    def gateways_of(self, region: str) -> list[Process]:
        """Return the running gateways of one region."""
        return [
            process
            for name, process in self.gateways.items()
            if self.regions[name] == region and process.is_running()
        ]

    def apply_plans(self, text: str, author: str = "operator") -> ApplyOutcome:
        """Apply plans in the same way as ``primroseferry plans apply``."""
        with open_plan_store(self.key_value.address) as store:
            return store.apply(parse_yaml(text), author)

    def add_gateway(self, name: str, region: str) -> Process:
        """Start a gateway and publish it in the instance list."""
        arguments = [
            "--region",
            region,
            "--failure-domain",
            f"{region}-a",
            "--key-value-address",
            self.address_from(region, self.shape.regions[0], self.key_value.address),
            "--directory-address",
            self.address_from(region, self.shape.regions[0], self.directory.address),
            *self.shape.gateway_options,
        ]
        process = start_gateway(name, arguments)
        self.gateways[name] = process
        self.regions[name] = region
        self.publish_gateway(name)
        return process

    def publish_gateway(self, name: str, state: str = "live") -> None:
        """Publish a gateway in the instance list, with one address for each other region."""
        process, region = self.gateways[name], self.regions[name]
        peer_address = f"127.0.0.1:{process.ports['peer_port']}"
        row = {
            "instance": name,
            "kind": "gateway",
            "state": state,
            "region": region,
            "failure_domain": f"{region}-a",
            "address": process.address,
            "peer_address": peer_address,
            "addresses_by_region": {
                viewer: {"peer_address": self.address_from(viewer, region, peer_address)}
                for viewer in self.shape.regions
                if viewer != region
            },
        }
        self.directory.fault(put=[row])

    def unpublish(self, name: str) -> None:
        """Remove an instance from the instance list."""
        self.directory.fault(remove=[name])

    def add_endpoint(self, shape: EndpointShape) -> Process:
        """Start an endpoint and publish it in the instance list."""
        if shape.is_engine:
            process = start_standin("engine", shape.serves, *shape.options)
        else:
            process = start_standin("service", *shape.options)
        process.name = shape.name
        self.endpoints[shape.name] = process
        self.regions[shape.name] = shape.region
        self.publish_endpoint(shape)
        return process

    def publish_endpoint(self, shape: EndpointShape, state: str = "live") -> None:
        """Publish an endpoint in the instance list."""
        row = {
            "instance": shape.name,
            "kind": "engine" if shape.is_engine else "service",
            "state": state,
            "region": shape.region,
            "failure_domain": f"{shape.region}-a",
            "address": self.endpoints[shape.name].address,
            "serves": shape.serves,
        }
        self.directory.fault(put=[row])

    def address_from(self, viewer: str, region: str, address: str) -> str:
        """Return the address at which ``viewer`` reaches ``address`` in ``region``."""
        if viewer == region or self.shape.link_delay_ms is None:
            return address
        port = self.links[viewer, region].control("/routes", {"target": address})["port"]
        return f"127.0.0.1:{port}"

    def cut(self, region: str, other: str, cut: str = "both") -> None:
        """Cut the links between two regions; the cut ``none`` heals them."""
        self.links[region, other].fault(cut=cut)
        self.links[other, region].fault(cut=cut)

    def isolate(self, region: str, cut: str = "both") -> None:
        """Cut the links between one region and all others; the cut ``none`` heals them."""
        for other in self.shape.regions:
            if other != region:
                self.cut(region, other, cut)

    def wait_ready(self) -> None:
        """Wait until every gateway is ready, lists all instances and has other regions' loads."""
        for process in self.gateways.values():
            wait_until(lambda process=process: _is_ready(process), f"{process.name} to be ready")  # type: ignore[misc]
        for name, process in self.gateways.items():
            wait_until(
                lambda process=process, name=name: self._knows_fleet(process, name),  # type: ignore[misc]
                f"{name} to list all instances and loads",
            )

    def _knows_fleet(self, process: Process, name: str) -> bool:
        state = gateway_state(process)
        listed = {row["instance"] for row in state["instances"]}
        expected = set(self.gateways) | set(self.endpoints)
        others = [region for region in self.shape.regions if region != self.regions[name]]
        region_by_service = {shape.serves: shape.region for shape in self.shape.endpoints}
        reported_regions = {
            load["region"] for loads in state["region_loads"].values() for load in loads
        }
        expected_regions = {region for region in others if region in region_by_service.values()}
        return expected <= listed and expected_regions <= reported_regions


def start_deployment(shape: DeploymentShape) -> Deployment:
    """Start all processes and wait until every gateway is ready."""
    key_value = start_standin("kv")
    directory = start_standin("directory")
    deployment = Deployment(shape, key_value, directory)
    try:
        directory.fault(clients=shape.clients)
        deployment.apply_plans(shape.plans)
        if shape.link_delay_ms is not None:
            pairs = list(permutations(shape.regions, 2))
            delay = ("link", "--delay-ms", str(shape.link_delay_ms))
            with ThreadPoolExecutor(8) as pool:
                started = list(pool.map(lambda _pair: start_standin(*delay), pairs))
            deployment.links = dict(zip(pairs, started, strict=True))
        names = [
            (f"{region}-{number}", region)
            for region in shape.regions
            for number in range(1, shape.gateways_per_region + 1)
        ]
        with ThreadPoolExecutor(8) as pool:
            list(pool.map(deployment.add_endpoint, shape.endpoints))
            list(pool.map(lambda pair: deployment.add_gateway(*pair), names))
        deployment.wait_ready()
    except BaseException:
        deployment.close()
        raise
    return deployment


def wait_until(
    is_true: Callable[[], bool], description: str, timeout_s: float = WAIT_TIMEOUT_S
) -> float:
    """Wait for a condition and return the time that it took, in seconds.

    Raises ``ProcessError`` after ``timeout_s``.
    """
    began_s = time.monotonic()
    while time.monotonic() - began_s < timeout_s:
        if is_true():
            return time.monotonic() - began_s
        time.sleep(POLL_INTERVAL_S)
    raise ProcessError(f"timed out after {timeout_s} s waiting for: {description}")


def gateway_state(process: Process) -> dict[str, Any]:
    """Return the state dump of a gateway."""
    from .caller import request

    answer = request(process.address, "GET", "/v1/state")
    state: dict[str, Any] = answer.json()
    return state


def _is_ready(process: Process) -> bool:
    from .caller import CallFailedError
    from .caller import request

    try:
        return request(process.address, "GET", "/readyz").status == 200
    except CallFailedError:
        return False
