"""Tests of the founding of the control group after a killed first start."""

import tempfile
import unittest
from collections.abc import Mapping
from pathlib import Path

import msgspec

from lavendergate.core.control_group.group_founding import (
    Founder,
    Founding,
    SeedAnswer,
    founder_of,
)
from lavendergate.core.types import HostId
from lavendergate.rpc.consensus_service import HostIdentityReply
from lavendergate.storage.files import FileStorage
from lavendergate.storage.founding_record import (
    read_founding_record,
    remove_founding_record,
    write_founding_record,
)
from lavendergate.storage.recovery import open_or_reset
from lavendergate.tests.start.founding_model import SEEDS, Model

_RECORDED = SeedAnswer(is_initialised=False, founding_seeds=SEEDS)
_EMPTY = SeedAnswer(is_initialised=False)
_MEMBER = SeedAnswer(is_initialised=True)


def _without_records(
    founder: Founder, answers: Mapping[str, SeedAnswer]
) -> Founding:
    """Decide as if no answer had to show a record, a deliberate fault."""
    first_start = Founder(
        seeds=founder.seeds, is_first_start=bool(founder.seeds)
    )
    return first_start.decide(answers)


class FoundingOrderTest(unittest.TestCase):
    """Every order of kills, restarts, lost disks and frozen hosts."""

    def test_one_group_acts_while_the_system_starts(self) -> None:
        """Guards against two groups beside processes of the first start."""
        groups, states = Model(max_losses=1).groups_with_majority()
        self.assertEqual(groups, 1)
        self.assertGreater(states, 10_000)

    def test_one_group_acts_however_many_disks_are_lost(self) -> None:
        """Guards against a second group of hosts that were restarted."""
        model = Model(max_losses=3, has_first_starts=False)
        self.assertEqual(model.groups_with_majority()[0], 1)

    def test_missing_check_of_the_records_is_found(self) -> None:
        """Guards against a model that could not fail."""
        for losses in (1, 3):
            model = Model(
                decide=_without_records,
                max_losses=losses,
                has_first_starts=False,
            )
            self.assertEqual(model.groups_with_majority()[0], 2)

    def test_founding_by_empty_hosts_bears_one_lost_disk_only(self) -> None:
        """Guards against a founding that rests on unanimous empty disks."""
        for losses, expected in ((1, 1), (2, 2)):
            model = Model(
                decide=_without_records,
                max_losses=losses,
                empty_may_found=True,
            )
            groups, _ = model.groups_with_majority()
            self.assertEqual(groups, expected, f'{losses} lost disks')

    def test_replaced_voter_is_what_forbids_a_founding_by_empty_hosts(
        self,
    ) -> None:
        """Guards against a second group beside what the first acknowledged.

        With the seeds alone, two lost disks leave no host that holds it.
        """
        for has_replacement in (False, True):
            model = Model(
                decide=_without_records,
                max_losses=2,
                has_first_starts=False,
                empty_may_found=True,
                has_replacement=has_replacement,
            )
            found, states = model.has_group_beside_state()
            self.assertEqual(found, has_replacement)
            self.assertGreater(states, 1000)

    def test_record_that_outlives_its_log_is_found(self) -> None:
        """Guards against a reset that keeps the founding record."""
        model = Model(max_losses=3, has_first_starts=False, keeps_record=True)
        self.assertEqual(model.groups_with_majority()[0], 2)

    def test_answers_from_before_and_after_a_loss_are_found(self) -> None:
        """Guards against a round without a limit of its duration."""
        model = Model(max_losses=1, has_long_rounds=True)
        self.assertEqual(model.groups_with_majority()[0], 2)


class FounderTest(unittest.TestCase):
    """Decision of one host."""

    def test_restarted_host_needs_the_record_of_every_seed(self) -> None:
        """Guards against an empty disk that helps to found a group."""
        founder = Founder(seeds=SEEDS)
        answers = dict.fromkeys(SEEDS, _RECORDED)
        self.assertIs(founder.decide(answers), Founding.found)
        for seed in SEEDS:
            for answer in (
                _EMPTY,
                SeedAnswer(
                    is_initialised=False, founding_seeds=('a', 'b', 'd')
                ),
            ):
                changed = {**answers, seed: answer}
                self.assertIs(founder.decide(changed), Founding.wait)
            missing = {name: answers[name] for name in SEEDS if name != seed}
            self.assertIs(founder.decide(missing), Founding.wait)
            member = {**answers, seed: _MEMBER}
            self.assertIs(founder.decide(member), Founding.join)

    def test_host_without_record_or_first_start_founds_nothing(self) -> None:
        """Guards against a group of its own for a host with an empty disk."""
        founder = founder_of(
            'a', bootstrap=False, seeds=SEEDS, recorded_seeds=()
        )
        answers = dict.fromkeys(SEEDS, _RECORDED)
        self.assertIs(founder.decide(answers), Founding.wait)

    def test_recorded_seeds_go_before_those_of_the_settings(self) -> None:
        """Guards against a founding with seeds that changed later."""
        founder = founder_of(
            'a', bootstrap=False, seeds=('a', 'd', 'e'), recorded_seeds=SEEDS
        )
        self.assertEqual(founder, Founder(seeds=SEEDS))

    def test_answer_of_an_earlier_build_shows_no_record(self) -> None:
        """Guards against a founding by hosts that know no records."""
        earlier = msgspec.msgpack.encode(('a', '1', False))
        reply = msgspec.msgpack.decode(earlier, type=HostIdentityReply)
        self.assertEqual(reply.founding_seeds, ())


class FoundingRecordTest(unittest.TestCase):
    """File of the founding record."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.directory = Path(folder.name) / 'data' / 'log'

    def test_record_keeps_the_seeds_of_the_first_start(self) -> None:
        """Guards against a record that a later start replaces."""
        write_founding_record(self.directory, ('c', 'a', 'b'))
        write_founding_record(self.directory, ('d',))
        self.assertEqual(read_founding_record(self.directory), SEEDS)
        remove_founding_record(self.directory)
        self.assertEqual(read_founding_record(self.directory), ())

    def test_torn_record_gives_no_right(self) -> None:
        """Guards against a founding by a record that is not whole."""
        write_founding_record(self.directory, SEEDS)
        path = self.directory / 'founding'
        content = path.read_bytes()
        for length in range(len(content)):
            path.write_bytes(content[:length])
            self.assertEqual(read_founding_record(self.directory), ())

    def test_reset_of_a_damaged_log_removes_the_record(self) -> None:
        """Guards against a host that forgot its group and founds another."""
        write_founding_record(self.directory, SEEDS)
        storage = FileStorage(directory=self.directory, host_id=HostId('a'))
        storage.load()
        storage.close()
        (self.directory / 'log').write_bytes(b'damaged')
        _, damage = open_or_reset(self.directory, HostId('a'))
        self.assertIsNotNone(damage)
        self.assertEqual(read_founding_record(self.directory), ())


if __name__ == '__main__':
    unittest.main()
