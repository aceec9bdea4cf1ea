"""Tests of the limits of connections and of their division."""

import unittest

from lavendergate.core.connections.admission import (
    FIRST_MESSAGE_S,
    Admission,
    Admit,
    ConnectionLoad,
    Cut,
    ReplaceIdle,
    ReplaceWaiting,
    decide_admission,
)
from lavendergate.core.connections.descriptors import (
    ProcessLimits,
    divide_descriptors,
)

_LIMIT = 10
_SPARE = 4


def _decide(open_count: int, waited_s: float | None = None) -> Admission:
    return decide_admission(
        ConnectionLoad(
            open_count=open_count,
            limit=_LIMIT,
            spare=_SPARE,
            waited_s=waited_s,
        )
    )


class DivisionTest(unittest.TestCase):
    """Division of descriptors and memory."""

    def test_parts_together_leave_room_for_files(self) -> None:
        """Guards against callers that take the descriptors of the log."""
        for limits, files in (
            (ProcessLimits(process_descriptors=64), 16),
            (ProcessLimits(process_descriptors=1024), 200),
            (ProcessLimits(platform_descriptors=4300), 200),
            (
                ProcessLimits(
                    platform_descriptors=4300, process_descriptors=1024
                ),
                200,
            ),
        ):
            parts = divide_descriptors(limits)
            total = min(
                number
                for number in (
                    limits.platform_descriptors,
                    limits.process_descriptors,
                )
                if number is not None
            )
            used = (
                parts.callers
                + parts.members
                + parts.peers
                + parts.operations
                + parts.spare
            )
            with self.subTest(limits):
                self.assertLessEqual(used, total - files)
                self.assertGreaterEqual(parts.callers, total // 4)

    def test_callers_of_an_ordinary_host_are_not_limited_early(self) -> None:
        """Guards against refusals at a host that has room."""
        parts = divide_descriptors(
            ProcessLimits(
                platform_descriptors=4300,
                process_descriptors=20_000,
                memory_mb=300,
            )
        )
        self.assertGreaterEqual(parts.callers, 2_900)

    def test_little_memory_limits_callers(self) -> None:
        """Guards against a host that is killed for its memory."""
        parts = divide_descriptors(
            ProcessLimits(platform_descriptors=4300, memory_mb=60)
        )
        self.assertLess(parts.callers, 700)
        self.assertLess(parts.buffered_bytes, 8_000_000)

    def test_odd_limits_still_serve(self) -> None:
        """Guards against a start that fails on a tiny or missing limit."""
        for limits in (
            ProcessLimits(),
            ProcessLimits(platform_descriptors=1, memory_mb=0.1),
        ):
            with self.subTest(limits):
                self.assertGreater(divide_descriptors(limits).callers, 0)


class AdmissionTest(unittest.TestCase):
    """Decision about a new connection."""

    def test_longest_waiting_peer_gives_way(self) -> None:
        """Guards against silent connections that keep callers out."""
        self.assertEqual(_decide(_LIMIT + 1, FIRST_MESSAGE_S), ReplaceWaiting())
        self.assertEqual(
            _decide(_LIMIT + 1, FIRST_MESSAGE_S / 2), ReplaceIdle()
        )

    def test_limits_of_admission(self) -> None:
        """Guards against a refusal below the limit, or none above it."""
        self.assertEqual(_decide(_LIMIT, FIRST_MESSAGE_S), Admit())
        self.assertEqual(_decide(_LIMIT + 1), ReplaceIdle())
        self.assertEqual(_decide(_LIMIT + _SPARE), ReplaceIdle())
        self.assertEqual(_decide(_LIMIT + _SPARE + 1, 100), Cut())
