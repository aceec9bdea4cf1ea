"""How many connections of each kind a process may hold.

Answers the load of more connections than descriptors: callers must not take
the descriptors with which a host reaches members and other hosts and writes
its log.
"""

from dataclasses import dataclass

# Descriptors that the platform keeps for files outside the data directory.
_PLATFORM_FILES = 200
_MIN_PART = 4
# Largest parts besides the callers' one. A host has a few connections to each
# member and one to each other host.
_MAX_MEMBERS = 512
_MAX_PEERS = 512
_MAX_OPERATIONS = 64
_MAX_SPARE = 64
# Memory of one caller: its tasks, its buffers and a short statement.
_CALLER_BYTES = 48 * 1024
_BYTES_PER_MB = 1_000_000
_DEFAULT_MEMORY_MB = 512


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessLimits:
    """Limits of the process; None where there is none.

    Parameters
    ----------
    platform_descriptors
        Descriptors that the platform allows, of which it keeps some.
    process_descriptors
        Limit of the operating system.
    memory_mb
        Memory in megabytes above which the process is killed.
    """

    platform_descriptors: int | None = None
    process_descriptors: int | None = None
    memory_mb: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionLimits:
    """Largest numbers of open connections, and of buffered bytes.

    Parameters
    ----------
    callers
        Connections of callers; on control hosts of members and operators.
    members
        Kept for connections to members.
    peers
        Connections of other hosts.
    operations
        Connections for readiness checks and metrics.
    spare
        Connections above a limit that are told why they are refused, and
        that take the place of one that is being closed.
    buffered_bytes
        Bytes of long messages that are held at the same time.
    """

    callers: int
    members: int
    peers: int
    operations: int
    spare: int
    buffered_bytes: int


def divide_descriptors(limits: ProcessLimits) -> ConnectionLimits:
    """Return the connections of each kind that the limits allow.

    Examples
    --------
    >>> divide_descriptors(ProcessLimits(process_descriptors=64)).callers
    24
    """
    usable = _usable(limits)
    members = _part(usable, _MAX_MEMBERS)
    peers = _part(usable, _MAX_PEERS)
    operations = _part(usable, _MAX_OPERATIONS)
    spare = _part(usable, _MAX_SPARE)
    rest = usable - members - peers - operations - spare
    memory_bytes = round(
        (limits.memory_mb or _DEFAULT_MEMORY_MB) * _BYTES_PER_MB
    )
    by_memory = memory_bytes // 2 // _CALLER_BYTES
    return ConnectionLimits(
        callers=max(_MIN_PART, min(rest, by_memory)),
        members=members,
        peers=peers,
        operations=operations,
        spare=spare,
        buffered_bytes=memory_bytes // 8,
    )


def _usable(limits: ProcessLimits) -> int:
    """Return the descriptors for connections.

    A limit so low that the files would take most of it keeps a quarter.
    """
    given = [
        number - min(_PLATFORM_FILES, number // 4)
        for number in (
            limits.platform_descriptors,
            limits.process_descriptors,
        )
        if number is not None
    ]
    return min(given, default=_PLATFORM_FILES * _PLATFORM_FILES)


def _part(usable: int, largest: int) -> int:
    return max(_MIN_PART, min(usable // 8, largest))
