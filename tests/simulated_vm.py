"""One entry VM of a simulated fleet."""

import asyncio
import contextvars
import itertools
import weakref

from camphorlink.internal.shell.connection.mesh import Address
from camphorlink.internal.shell.process.job_node import JobNode, Platform
from camphorlink.internal.shell.process.peers import NodeSettings
from recording_backends import BackendAccess
from simulated_store import SimulatedDirectory, StoreAccess

MESH_PORT = 7000

#: Name of the VM that the running task is a part of, empty for none.
CURRENT_VM = contextvars.ContextVar('vm', default='')


class SimulatedVm:
    """One process of an entry VM, with its accesses to the platform."""

    def __init__(self, fleet, name, zone):
        self.name = name
        self.zone = zone
        self.store = StoreAccess(fleet.store)
        self.backends = BackendAccess(name, fleet.backend_by_id)
        # A set would be cancelled in the order of memory addresses.
        self._tasks = weakref.WeakValueDictionary()
        self._task_numbers = itertools.count()
        self.is_live = True
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_VM.set, name)
        settings = NodeSettings(
            name,
            zone,
            tuple(fleet.zones),
            Address(name, MESH_PORT),
            fleet.cores_of(name),
        )
        self.node = self.context.run(
            JobNode,
            settings,
            Platform(
                self.store,
                self.backends,
                SimulatedDirectory(fleet.listed_by_id),
            ),
        )

    def create_task(self, coroutine):
        """Runs a coroutine as a part of this process."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, context=self.context)

    def add_task(self, task):
        """Adds a task that ends with the process."""
        self._tasks[next(self._task_numbers)] = task

    def kill(self, is_silent):
        """Ends the process abruptly, or with ``is_silent`` the whole VM.

        Nothing that the process does while it ends has an effect.
        """
        self.is_live = False
        self.store.is_cut = True
        self.backends.is_dead = True
        self.node.peers._mesh.kill(is_silent)
        for task in list(self._tasks.values()):
            task.cancel()
