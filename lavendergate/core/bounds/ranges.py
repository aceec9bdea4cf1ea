"""Types that carry their range.

msgspec enforces the range wherever it decodes a value of such a type. Python's
integers have no size, but those of MessagePack and of the replicated log end
at 64 bits: an encoder that met a larger one would end the process.
"""

from types import MappingProxyType
from typing import Annotated, Final

from msgspec import Meta

MAX_COUNT: Final = (1 << 63) - 1
# What MessagePack can hold.
MAX_UNSIGNED: Final = (1 << 64) - 1
# Largest term and index that a message of the replicated log may carry. A node
# counts on from them, and what it stores must stay within `MAX_COUNT`.
MAX_LOG_POSITION: Final = (1 << 53) - 1
# Largest integer that every JSON reader keeps exactly. Added to the time on a
# clock, it stays within `MAX_COUNT`.
MAX_DURATION_MS: Final = (1 << 53) - 1
MAX_DURATION_S: Final = MAX_DURATION_MS / 1000
# Last millisecond of the year 9999.
MAX_UNIX_MS: Final = 253_402_300_799_999
MAX_AMOUNT: Final = 1e15
MAX_SLOTS: Final = 65_535
MAX_PORT: Final = 65_535
MAX_NAME_CHARACTERS: Final = 255

# Characters of which a field of a line, a log event or a label cannot hold
# any: control characters, line separators and surrogates.
_UNPRINTABLE: Final = r'\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff'
_OCTET: Final = '(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
# First octets of unicast addresses.
_FIRST_OCTET: Final = '(?:22[0-3]|2[01][0-9]|1[0-9][0-9]|[1-9][0-9]?)'
_PORT: Final = (
    '(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)
IP_PATTERN: Final = rf'\A{_FIRST_OCTET}(?:\.{_OCTET}){{3}}\Z'
ADDRESS_PATTERN: Final = rf'\A{_FIRST_OCTET}(?:\.{_OCTET}){{3}}:{_PORT}\Z'
HOST_AND_PORT_PATTERN: Final = rf'\A([!-~]+):({_PORT})\Z'
NAME_PATTERN: Final = rf'\A[^{_UNPRINTABLE}]+\Z'
WORD_PATTERN: Final = rf'\A[^\s{_UNPRINTABLE}]+\Z'

# What an error message says in place of a pattern.
PATTERN_FORMS: Final = MappingProxyType(
    {
        IP_PATTERN: 'an IPv4 address',
        ADDRESS_PATTERN: 'ip:port with an IPv4 address and a port up to 65535',
        HOST_AND_PORT_PATTERN: 'host:port with a port up to 65535',
        NAME_PATTERN: 'a name without control characters',
        WORD_PATTERN: 'a word without blanks and control characters',
    }
)

# Ranges for types that have a name of their own.
IN_COUNT: Final = Meta(ge=0, le=MAX_COUNT)
IN_LOG_POSITION: Final = Meta(ge=0, le=MAX_LOG_POSITION)
IN_NAME: Final = Meta(max_length=MAX_NAME_CHARACTERS, pattern=NAME_PATTERN)
IN_WORD: Final = Meta(max_length=MAX_NAME_CHARACTERS, pattern=WORD_PATTERN)

# Any integer of 64 bits, as MessagePack and the log hold it.
Integer = Annotated[int, Meta(ge=-MAX_COUNT - 1, le=MAX_COUNT)]
# Number of things, or a version, term, position or index.
Count = Annotated[int, IN_COUNT]
# Term, index or read round in a message of the replicated log.
LogPosition = Annotated[int, IN_LOG_POSITION]
PositiveCount = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
DurationMs = Annotated[int, Meta(ge=0, le=MAX_DURATION_MS)]
# Time that must pass, as a time limit.
PositiveMs = Annotated[int, Meta(ge=1, le=MAX_DURATION_MS)]
PositiveS = Annotated[float, Meta(gt=0, le=MAX_DURATION_S)]
DurationS = Annotated[float, Meta(ge=0, le=MAX_DURATION_S)]
UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
Balance = Annotated[float, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
# Finite and not negative; NaN is neither.
Amount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
# Statements that a member executes at the same time; divisors.
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
# Text for people, such as the name of a failure domain.
Name = Annotated[str, IN_NAME]
# Name that is a field of a line: it holds no blank.
Word = Annotated[str, IN_WORD]
# IPv4 address in its canonical form.
Ip = Annotated[str, Meta(max_length=15, pattern=IP_PATTERN)]
# ``ip:port`` of one host.
Address = Annotated[str, Meta(max_length=21, pattern=ADDRESS_PATTERN)]
# Host, which may be a name, and port.
HostAndPort = Annotated[
    str, Meta(max_length=300, pattern=HOST_AND_PORT_PATTERN)
]
# An address, or an empty text for none.
AddressOrNone = Annotated[
    str, Meta(max_length=21, pattern=rf'\A\Z|{ADDRESS_PATTERN}')
]
