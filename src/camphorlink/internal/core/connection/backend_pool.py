"""The back ends of this zone according to the manifest in force."""

import math
import statistics

from camphorlink.internal.core.connection.backend_load import BackendLoad
from camphorlink.internal.core.version.manifest import (
    EMPTY_MANIFEST,
    Manifest,
    Service,
)

INITIAL_SPEED = 1.0
MIN_SPEED = 0.01
#: Initial task limit of a back end that joins a running zone.
SLOW_START_TASKS = 2


class BackendPool:
    """Tracks the load of each back end of a zone and the services it serves.

    Attributes:
        manifest: The manifest in force.
        load_by_backend: Loads of all back ends that any manifest named; tasks
            may still run on a back end that the manifest no longer has.
        loads_by_service: Loads of the back ends that serve each service now.
        service_by_name: Latest definition of all services that any manifest
            named; tasks admitted before a service was removed still run.
    """

    def __init__(self, zone: str) -> None:
        """Creates a pool for a zone, without a manifest; see ``install``."""
        self.manifest = EMPTY_MANIFEST
        self.load_by_backend: dict[str, BackendLoad] = {}
        self.loads_by_service: dict[str, list[BackendLoad]] = {}
        self.service_by_name: dict[str, Service] = {}
        self._zone = zone

    def install(self, manifest: Manifest) -> None:
        """Applies a new version of the manifest."""
        is_first = not self.manifest.digest
        removed = {
            name: self.loads_by_service[name]
            for name in self.loads_by_service
            if name not in manifest.services_by_name
        }
        self.service_by_name.update(manifest.services_by_name)
        self.manifest = manifest
        for name, backend in manifest.backends_by_name.items():
            if backend.zone != self._zone:
                continue
            load = self.load_by_backend.get(name)
            if load is not None:
                load.backend = backend
                continue
            load = BackendLoad(backend, self._median_speed())
            self.load_by_backend[name] = load
            if not is_first:
                load.limit = min(SLOW_START_TASKS, backend.slots)
        self.loads_by_service = {
            service_name: self._find_serving(service)
            for service_name, service in manifest.services_by_name.items()
        }
        # Tasks admitted before a service was removed still run, on the back
        # ends that the new version still has.
        for removed_name, loads in removed.items():
            self.loads_by_service[removed_name] = [
                load
                for load in loads
                if load.backend.name in manifest.backends_by_name
            ]

    def find_loads(self, service: str) -> list[BackendLoad]:
        """Returns the loads of the back ends that serve a service."""
        return self.loads_by_service.get(service, [])

    def own_speed(self) -> float:
        """Returns the total speed of the slots assigned to this VM."""
        speed = math.fsum(
            load.speed * load.allotted
            for load in self.load_by_backend.values()
            if load.is_usable
        )
        return max(speed, MIN_SPEED)

    def ideal_s(self, service: str, task_works_s: list[float]) -> float:
        """Returns the time that tasks take on otherwise idle back ends.

        Args:
            service: Name of the service that runs the tasks.
            task_works_s: Run time of each task at speed 1, in seconds.

        Returns:
            The least possible time, in seconds.
        """
        loads = self.find_loads(service)
        fastest = max((load.speed for load in loads), default=INITIAL_SPEED)
        total = math.fsum(load.speed * load.backend.slots for load in loads)
        work_s = math.fsum(task_works_s)
        return max(max(task_works_s) / fastest, work_s / max(total, fastest))

    def _find_serving(self, service: Service) -> list[BackendLoad]:
        return [
            load
            for load in self.load_by_backend.values()
            if load.backend.name in self.manifest.backends_by_name
            and service.name in load.backend.services
            and service.needs <= load.backend.capabilities
        ]

    def _median_speed(self) -> float:
        speeds = [load.speed for load in self.load_by_backend.values()]
        return statistics.median(speeds) if speeds else INITIAL_SPEED
