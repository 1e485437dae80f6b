"""Hands the tables of a VM over to a successor at the end of a planned stop."""

import asyncio

from camphorlink.internal.core.process import messages
from camphorlink.internal.core.process.members import MemberState
from camphorlink.internal.shell.process.core_host import CoreHost
from camphorlink.internal.shell.process.member_monitor import MemberMonitor

POLL_PERIOD_S = 0.02
#: Longest time to wait for the hand-over, in seconds.
HAND_OVER_TIMEOUT_S = 8.0
#: Time to send the last messages to peers after the hand-over, in seconds.
LINGER_S = 0.1


async def hand_over_tables(host: CoreHost, members: MemberMonitor) -> None:
    """Seals the tables and waits until a successor has received them.

    Returns after ``HAND_OVER_TIMEOUT_S`` at the latest, also if no successor
    has the tables by then.

    Args:
        host: Runs a core that is drained.
        members: Announces to the peers that the tables are sealed.
    """
    loop = asyncio.get_running_loop()
    host.post(messages.Seal())
    members.set_state(MemberState.SEALED)
    deadline_s = loop.time() + HAND_OVER_TIMEOUT_S
    while not host.core.is_handed_over and loop.time() < deadline_s:
        await asyncio.sleep(POLL_PERIOD_S)
    await asyncio.sleep(LINGER_S)
