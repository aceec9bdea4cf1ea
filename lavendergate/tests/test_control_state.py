"""Tests of the state machine of the replicated log."""

import unittest
from dataclasses import replace

from lavendergate.core.commands import (
    BeginTerm,
    ChangeSettings,
    Command,
    ConfirmPrimary,
    RegisterHost,
    RegisterMember,
    RemoveHost,
    SettingChange,
)
from lavendergate.core.control_records import Answer
from lavendergate.core.control_state import (
    ControlState,
    apply,
    decode_state,
    encode_state,
)
from lavendergate.core.types import (
    FailureDomain,
    GroupId,
    HostId,
    Region,
    SettingsVersion,
    Term,
    UpstreamId,
)

_GROUP = GroupId('glasdaten-1')
_MEMBER = UpstreamId('g1-a')


def _change(
    operation_id: str, base_version: int, value: int, author: str = 'anna'
) -> ChangeSettings:
    change = SettingChange(path='/', key='queue.limit', value=value)
    return ChangeSettings(
        operation_id=operation_id,
        base_version=SettingsVersion(base_version),
        author=author,
        changes=(change,),
    )


def _begin(term: int) -> BeginTerm:
    return BeginTerm(group_id=_GROUP, term=Term(term), reason='test')


def _confirm(term: int) -> ConfirmPrimary:
    return ConfirmPrimary(
        group_id=_GROUP,
        term=Term(term),
        upstream_id=_MEMBER,
        first_position=term * 10,
    )


def _host(host_id: str, incarnation: str, address: str) -> RegisterHost:
    return RegisterHost(
        host_id=HostId(host_id),
        incarnation=incarnation,
        region=Region('franken'),
        failure_domain=FailureDomain('nue-sued'),
        address=address,
    )


class ControlStateTest(unittest.TestCase):
    """Acceptance, refusal and effects of the commands."""

    def setUp(self) -> None:
        self.state = ControlState()

    def perform(self, command: Command) -> Answer:
        index = self.state.applied_index + 1
        state, answer = apply(self.state, index, command)
        self.state = state
        return answer

    def test_resend_returns_the_first_answer(self) -> None:
        """Guards against a change that takes effect twice.

        A resend must not be refused as a conflict with itself either. Both
        apply after a restored snapshot, too.
        """
        first = self.perform(_change('op-1', 0, 100))
        self.perform(_change('op-2', 1, 200))
        self.state = decode_state(encode_state(self.state))
        self.assertEqual(self.perform(_change('op-1', 0, 100)), first)
        self.assertEqual(self.state.document.version, 2)
        reused = self.perform(_change('op-1', 2, 300))
        self.assertFalse(reused.accepted)

    def test_conflict_shows_the_other_change(self) -> None:
        """Guards against overwriting a change that the operator did not see."""
        self.perform(_change('op-1', 0, 100, author='bert'))
        answer = self.perform(_change('op-2', 0, 200))
        self.assertFalse(answer.accepted)
        self.assertIn(
            'bert set queue.limit of / to 100 (version 1)', str(answer.problem)
        )

    def test_operations_are_bounded_and_keep_their_order(self) -> None:
        """Guards against hosts that drop different operations.

        A host that restores a snapshot must drop the same operation as one
        that applied every command.
        """
        for number in range(10_000):
            self.perform(_change(f'op-{number}', 0, number))
        restored = decode_state(encode_state(self.state))
        last = _change('op-last', 0, 1)
        first_state, _ = apply(self.state, 10_001, last)
        second_state, _ = apply(restored, 10_001, last)
        self.assertEqual(
            list(first_state.settings.operations),
            list(second_state.settings.operations),
        )
        self.assertNotIn('op-0', first_state.settings.operations)

    def test_term_is_begun_and_confirmed_once(self) -> None:
        """Guards against two primaries of a group in one term."""
        self.perform(RegisterMember(group_id=_GROUP, upstream_id=_MEMBER))
        commands: list[tuple[Command, bool]] = [
            (_begin(2), False),
            (_begin(1), True),
            (_begin(1), False),
            (_confirm(1), True),
            (_confirm(1), False),
            (_begin(2), True),
            (_confirm(1), False),
        ]
        for command, is_accepted in commands:
            self.assertEqual(self.perform(command).accepted, is_accepted)
        group = self.state.groups[_GROUP]
        self.assertEqual((group.begun_term, group.confirmed_term), (2, 1))

    def test_duplicate_host_names_both_holders(self) -> None:
        """Guards against two proxies that use the same share or address."""
        self.perform(_host('p1', 'i1', '127.0.0.1:1'))
        same_id = self.perform(_host('p1', 'i2', '127.0.0.1:2'))
        same_address = self.perform(_host('p2', 'i3', '127.0.0.1:1'))
        self.assertIn('incarnation i1 at 127.0.0.1:1', str(same_id.problem))
        self.assertIn('incarnation i2 at 127.0.0.1:2', str(same_id.problem))
        self.assertIn('used by host p1', str(same_address.problem))
        self.assertIn('also claimed by host p2', str(same_address.problem))
        self.perform(RemoveHost(host_id=HostId('p1'), incarnation='i1'))
        again = self.perform(_host('p1', 'i2', '127.0.0.1:1'))
        self.assertTrue(again.accepted)

    def test_snapshot_restores_the_state(self) -> None:
        """Guards against state that is lost or changed by a restart."""
        self.perform(RegisterMember(group_id=_GROUP, upstream_id=_MEMBER))
        self.perform(_begin(1))
        self.perform(_confirm(1))
        self.perform(_host('p1', 'i1', '127.0.0.1:1'))
        self.perform(_change('op-1', 0, 100))
        restored = decode_state(encode_state(self.state))
        self.assertEqual(restored, replace(self.state))
