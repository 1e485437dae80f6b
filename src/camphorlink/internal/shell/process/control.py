"""All that keeps an entry VM in step with the platform and its peers."""

import random

from camphorlink.internal.core.connection.peer_messages import (
    CONFIG_KINDS,
    MEMBERSHIP_KINDS,
    Heartbeat,
    PeerMessage,
)
from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberState
from camphorlink.internal.core.process.zone_links import first_by_hash
from camphorlink.internal.core.request.identifiers import Home
from camphorlink.internal.core.version.acceptance import ConfigState
from camphorlink.internal.core.version.config_fold import Folded
from camphorlink.internal.shell.connection.log_client import LogClient
from camphorlink.internal.shell.process.audit import Audit
from camphorlink.internal.shell.process.background import BackgroundTask
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.logs import PartLog
from camphorlink.internal.shell.process.member_watch import MemberWatch
from camphorlink.internal.shell.process.settings import EntrySettings
from camphorlink.internal.shell.process.stack_owner import StackOwner
from camphorlink.internal.shell.version.config_manager import (
    ConfigManager,
    Retention,
)
from camphorlink.internal.shell.version.config_tail import ConfigTail


class Control(StackOwner):
    """Membership, configuration and audit of one entry VM."""

    def __init__(
        self,
        host: CoreHost,
        log_client: LogClient,
        settings: EntrySettings,
        rng: random.Random,
    ) -> None:
        """Takes a host whose links are open."""
        super().__init__()
        self._host = host
        self.members = MemberWatch(host, log_client, rng)
        self.audit = Audit(str(host.core.home), log_client, settings.vm)
        self.tail = ConfigTail(
            log_client,
            self._install,
            PartLog('config', settings.vm),
            self._note_verdict,
        )
        self.keeper = ConfigManager(
            host,
            self.tail,
            log_client,
            Retention(settings.log_keep_s, settings.snapshot_records),
            rng,
        )

    async def __aenter__(self) -> 'Control':
        """Starts all parts, the audit first, so that it stops last."""
        self._host.audit = await self._stack.enter_async_context(self.audit)
        self._stack.enter_context(self.members)
        self._stack.enter_context(BackgroundTask(self.tail.run()))
        self._stack.enter_context(self.keeper)
        return self

    def hear(self, peer: Home, message: PeerMessage) -> None:
        """Gives a peer's message to the part that it is for."""
        if isinstance(message, MEMBERSHIP_KINDS):
            self.members.hear(peer, message)
            if isinstance(message, Heartbeat):
                self.keeper.record_peer_version(peer, message)
        elif isinstance(message, CONFIG_KINDS):
            self.keeper.hear(message, peer)
        else:
            self._host.post(messages.PeerSaid(peer, message))

    def _install(self, state: ConfigState) -> None:
        self._host.post(messages.VersionInForce(state.version, state.manifest))
        self.members.announce_version(state.version)

    def _note_verdict(self, folded: Folded) -> None:
        """Records a verdict once for the fleet, or a few times over."""
        core = self._host.core
        live = (
            member.home
            for member in core.view.members
            if member.state is MemberState.LIVE
        )
        if first_by_hash(str(folded.offset), live) == core.home:
            self.audit.record('configuration', **folded._asdict())
