"""Submission identifiers that name the only entry VM that may start them.

An identifier carries its home (availability zone, entry VM, incarnation),
the time of issue and a random part.  Memory dies with its VM, so after a
restart the same VM is another home: the incarnation is drawn at every
process start.  No lease and no agreed view of the members is needed for
safety, because nobody but the named incarnation ever starts the tasks.
"""

import random
import re
from typing import NamedTuple

from camphorlink.errors import IdentifierError

INCARNATION_BITS = 64
NONCE_BITS = 80
MS_PER_S = 1000

_NAME = '[a-z0-9][a-z0-9-]{0,31}'
_HOME = f'(?P<zone>{_NAME})[.](?P<vm>{_NAME})[.](?P<incarnation>[0-9a-f]{{16}})'
_HOME_PATTERN = re.compile(_HOME)
_PATTERN = re.compile(
    f'{_HOME}[.](?P<issued>[0-9a-f]{{12}})(?P<nonce>[0-9a-f]{{20}})',
)


class Home(NamedTuple):
    """The one process that may start a submission.

    Attributes:
        zone: Availability zone of the entry VM.
        vm: Name of the entry VM, unique in its zone.
        incarnation: Random number of this process start, 16 hex digits.
    """

    zone: str
    vm: str
    incarnation: str

    def __str__(self) -> str:
        return f'{self.zone}.{self.vm}.{self.incarnation}'


class SubmissionId(NamedTuple):
    """Identity of one submission.

    Attributes:
        home: The process that may start it.
        issued_ms: Wall-clock time of issue, in ms since the epoch.
        nonce: Random part, 20 hex digits.
    """

    home: Home
    issued_ms: int
    nonce: str

    @property
    def key(self) -> int:
        """Issue time and random part as one number, unique at its home."""
        return (self.issued_ms << NONCE_BITS) | int(self.nonce, 16)

    def __str__(self) -> str:
        return f'{self.home}.{self.issued_ms:012x}{self.nonce}'


def parse_home(text: str) -> Home:
    """Reads the text form of a home.

    Raises:
        IdentifierError: The text has another form.
    """
    match = _HOME_PATTERN.fullmatch(text)
    if match is None:
        raise IdentifierError(f'{text[:80]!r} names no home')
    return Home(match['zone'], match['vm'], match['incarnation'])


def new_home(zone: str, vm: str, rng: random.Random) -> Home:
    """Names a process that has just started."""
    return Home(zone, vm, f'{rng.getrandbits(INCARNATION_BITS):016x}')


def mint_submission_id(
    home: Home,
    wall_s: float,
    rng: random.Random,
) -> SubmissionId:
    """Issues a fresh identifier under ``home``.

    Args:
        home: The process that is to start the submission.
        wall_s: Wall-clock time, in seconds since the epoch.
        rng: Source of the random part.

    Returns:
        An identifier that no other call returns, but for 80 bits of chance.
    """
    nonce = f'{rng.getrandbits(NONCE_BITS):020x}'
    return SubmissionId(home, int(wall_s * MS_PER_S), nonce)


def parse_submission_id(text: str) -> SubmissionId:
    """Reads the text form of an identifier.

    Raises:
        IdentifierError: The text has another form.
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise IdentifierError(
            f'{text[:80]!r} is not a submission identifier; ask an entry VM '
            'for one with POST /v1/submission-ids',
        )
    home = Home(match['zone'], match['vm'], match['incarnation'])
    return SubmissionId(home, int(match['issued'], 16), match['nonce'])
