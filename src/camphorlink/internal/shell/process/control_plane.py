"""Membership, configuration and audit of an entry VM."""

import random

from camphorlink.internal.core.connection.peer_messages import (
    CONFIG_MESSAGE_TYPES,
    MEMBERSHIP_MESSAGE_TYPES,
    Heartbeat,
    PeerMessage,
)
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberState
from camphorlink.internal.core.process.zone_links import choose_by_hash
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.version.acceptance import ConfigState
from camphorlink.internal.core.version.config_fold import Folded
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.audit import Audit
from camphorlink.internal.shell.process.background import BackgroundTask
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.member_monitor import MemberMonitor
from camphorlink.internal.shell.process.settings import EntrySettings
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.internal.shell.version.config_manager import (
    ConfigManager,
    Retention,
)
from camphorlink.internal.shell.version.config_tail import ConfigTail


class ControlPlane(StackOwner):
    """Runs the membership, configuration and audit parts of one entry VM.

    Attributes:
        members: Monitor of the other entry VMs.
        audit: Writer of the audit stream.
        tail: Reader of the configuration stream.
        config_manager: Writer of configuration snapshots, which also exchanges the
            configuration with peers.
    """

    def __init__(
        self,
        host: CoreHost,
        log_client: LogClient,
        settings: EntrySettings,
        rng: random.Random,
    ) -> None:
        """Creates the parts; entering the context starts them.

        Args:
            host: Host of the core; its peer links must be open.
            log_client: Client of the log service.
            settings: Settings of the VM.
            rng: Random source for jitter.
        """
        super().__init__()
        self._host = host
        self.members = MemberMonitor(host, log_client, rng)
        self.audit = Audit(str(host.core.home), log_client, settings.vm)
        self.tail = ConfigTail(
            log_client,
            self._install,
            PartLog('config', settings.vm),
            self._record_verdict,
        )
        self.config_manager = ConfigManager(
            host,
            self.tail,
            log_client,
            Retention(settings.log_keep_s, settings.snapshot_records),
            rng,
        )

    async def __aenter__(self) -> 'ControlPlane':
        """Starts all parts, the audit first so that it stops last."""
        self._host.audit = await self._stack.enter_async_context(self.audit)
        self._stack.enter_context(self.members)
        self._stack.enter_context(BackgroundTask(self.tail.run()))
        self._stack.enter_context(self.config_manager)
        return self

    def handle_message(self, peer: Home, message: PeerMessage) -> None:
        """Passes a peer's message to the part that handles its kind."""
        if isinstance(message, MEMBERSHIP_MESSAGE_TYPES):
            self.members.handle_message(peer, message)
            if isinstance(message, Heartbeat):
                self.config_manager.record_peer_version(peer, message)
        elif isinstance(message, CONFIG_MESSAGE_TYPES):
            self.config_manager.handle_message(message, peer)
        else:
            self._host.post(messages.PeerSaid(peer, message))

    def _install(self, state: ConfigState) -> None:
        self._host.post(messages.VersionInForce(state.version, state.manifest))
        self.members.announce_version(state.version)

    def _record_verdict(self, folded: Folded) -> None:
        """Records the result of a configuration record in the audit stream.

        Only the live VM that a hash of the record's offset selects writes the
        audit record.  VMs with different views may select different VMs, so
        the record can be written more than once.
        """
        core = self._host.core
        live = (
            member.home
            for member in core.view.members
            if member.state is MemberState.LIVE
        )
        if choose_by_hash(str(folded.offset), live) == core.home:
            self.audit.record('configuration', **folded._asdict())
