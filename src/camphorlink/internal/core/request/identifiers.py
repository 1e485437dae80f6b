"""Submission identifiers that name the only process that may start them.

An identifier contains its home (availability zone, entry VM, incarnation),
the time of issue and a random part.  The state of a process is lost when it
stops, so a restarted entry VM is a different home: each process start draws a
new random incarnation.  Safety needs no lease and no consensus on the members,
because only the named incarnation ever starts the tasks.
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
    """Identity of a process, as the only one that may start a submission.

    Attributes:
        zone: Availability zone of the entry VM.
        vm: Name of the entry VM, unique in its zone.
        incarnation: Random number drawn at process start, 16 hex digits.
    """

    zone: str
    vm: str
    incarnation: str

    def __str__(self) -> str:
        return f'{self.zone}.{self.vm}.{self.incarnation}'


class SubmissionId(NamedTuple):
    """Identity of one submission.

    Attributes:
        home: The process that may start the submission.
        issued_ms: Wall-clock time of issue, in ms since the epoch.
        nonce: Random part, 20 hex digits.
    """

    home: Home
    issued_ms: int
    nonce: str

    @property
    def key(self) -> int:
        """Issue time and random part as one number, unique for its home."""
        return (self.issued_ms << NONCE_BITS) | int(self.nonce, 16)

    def __str__(self) -> str:
        return f'{self.home}.{self.issued_ms:012x}{self.nonce}'


def parse_home(text: str) -> Home:
    """Parses the text form of a home.

    Raises:
        IdentifierError: The text is not a valid home.
    """
    match = _HOME_PATTERN.fullmatch(text)
    if match is None:
        raise IdentifierError(f'{text[:80]!r} is not a home')
    return Home(match['zone'], match['vm'], match['incarnation'])


def new_home(zone: str, vm: str, rng: random.Random) -> Home:
    """Creates the home of a process that has just started."""
    return Home(zone, vm, f'{rng.getrandbits(INCARNATION_BITS):016x}')


def mint_submission_id(
    home: Home,
    wall_s: float,
    rng: random.Random,
) -> SubmissionId:
    """Issues a new identifier for ``home``.

    Args:
        home: The process that may start the submission.
        wall_s: Wall-clock time, in seconds since the epoch.
        rng: Source of the random part.

    Returns:
        An identifier that is unique except for a collision of 80 random bits.
    """
    nonce = f'{rng.getrandbits(NONCE_BITS):020x}'
    return SubmissionId(home, int(wall_s * MS_PER_S), nonce)


def parse_submission_id(text: str) -> SubmissionId:
    """Parses the text form of an identifier.

    Raises:
        IdentifierError: The text is not a valid submission identifier.
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise IdentifierError(
            f'{text[:80]!r} is not a submission identifier; ask an entry VM '
            'for one with POST /v1/submission-ids',
        )
    home = Home(match['zone'], match['vm'], match['incarnation'])
    return SubmissionId(home, int(match['issued'], 16), match['nonce'])
