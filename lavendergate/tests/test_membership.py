"""Tests of the directory, and of the watchers and their probe results."""

import unittest
from typing import Any

from lavendergate.core.directory import POSITION_INTERVAL_S, Directory
from lavendergate.core.membership import (
    empty_directory,
    expire,
    members_to_register,
    receive_announcements,
    receive_heartbeat,
    spare_upstreams,
)
from lavendergate.core.records import GroupRecord, HostRecord
from lavendergate.core.reports import Announcement
from lavendergate.core.types import (
    LOG_START,
    NO_TERM,
    FailureDomain,
    GroupId,
    HostId,
    LogPosition,
    MemberRole,
    MemberStatus,
    Region,
    Term,
    UpstreamId,
)
from lavendergate.core.watchers import (
    ProbeTrack,
    combine_probe_results,
    record_probe,
    watchers_of,
)

GROUP = GroupId('glasdaten-1')


def announcement(name: str, position: int = 0, **changes: Any) -> Announcement:
    """Return an announcement of a replica."""
    entry = LogPosition(term=Term(1), position=position)
    status = MemberStatus(
        promised_term=NO_TERM,
        last_entry=entry if position else LOG_START,
        role=MemberRole.replica,
        primary_contact_ms=0,
        applied_age_ms=0,
        connections=0,
    )
    values: dict[str, Any] = {
        'upstream_id': UpstreamId(name),
        'group_id': GROUP,
        'region': Region('Franken'),
        'failure_domain': FailureDomain('nue-sued'),
        'host': f'127.0.0.{ord(name[0]) - 90}',
        'port': 3306,
        'connection_limit': 16,
        'slots': 2,
        'leaving': False,
        'incarnation': f'first {name}',
        'status': status,
    }
    return Announcement(**{**values, **changes})


def host(name: str, domain: str = 'nue-sued', **changes: str) -> HostRecord:
    """Return a proxy host."""
    values: dict[str, Any] = {
        'host_id': HostId(name),
        'incarnation': f'first {name}',
        'region': Region('Franken'),
        'failure_domain': FailureDomain(domain),
        'address': f'127.0.1.1:{name}',
    }
    return HostRecord(**{**values, **changes})


class DirectoryTest(unittest.TestCase):
    """Expiry, refusals and versions."""

    def setUp(self) -> None:
        self.directory = empty_directory(epoch=3, now=0)

    def announce(self, now: float, *announced: Announcement) -> Directory:
        self.directory, self.errors = receive_announcements(
            self.directory, announced, now
        )
        return self.directory

    def test_position_changes_are_coalesced(self) -> None:
        """Guards against a new version for each announced position."""
        version = self.announce(0, announcement('a')).version
        for position in range(1, 10):
            now = POSITION_INTERVAL_S * position / 10
            self.announce(now, announcement('a', position))
            self.directory = expire(self.directory, now)
        self.assertEqual(self.directory.version, version)
        due = POSITION_INTERVAL_S + 0.01
        self.directory = expire(self.directory, due)
        self.assertEqual(self.directory.version, version + 1)
        leaving = announcement('a', 10, leaving=True)
        self.assertEqual(
            self.announce(due + 0.01, leaving).version, version + 2
        )

    def test_new_epoch_has_higher_versions(self) -> None:
        """Guards against proxies that ignore the directory of a new leader."""
        self.announce(0, announcement('a'))
        newer = empty_directory(epoch=4, now=0)
        self.assertGreater(newer.version, self.directory.version)

    def test_isolated_host_expires_no_one(self) -> None:
        """Guards against a partitioned leader that drops all members."""
        self.announce(0, announcement('a'), announcement('b'))
        self.directory = expire(self.directory, 60)
        self.assertEqual(len(self.directory.members), 2)
        self.announce(60, announcement('a'))
        self.directory = expire(self.directory, 60.5)
        self.assertEqual(len(self.directory.members), 2)
        for tick in range(10):
            self.announce(60.5 + tick / 4, announcement('a'))
        self.directory = expire(self.directory, 62.8)
        self.assertEqual(set(self.directory.members), {'a'})

    def test_duplicates_name_both_holders(self) -> None:
        """Guards against two processes with the same id or address."""
        self.announce(0, announcement('a'))
        self.announce(1, announcement('a', incarnation='second', port=9))
        self.assertIn('first a', self.errors[0])
        self.assertIn('second', self.errors[0])
        self.announce(1, announcement('b', host=announcement('a').host))
        self.assertIn('first b', self.errors[0])
        self.announce(2.1, announcement('a', incarnation='second'))
        self.assertEqual(self.errors, ())

    def test_finished_host_is_replaced_at_once(self) -> None:
        """Guards against a restart that waits for its previous lease to end."""
        old = host('p')
        new = host('p', incarnation='second')
        for finished in (False, True):
            directory = receive_heartbeat(
                self.directory, old, 0, is_drained=finished
            ).unwrap()
            answer = receive_heartbeat(directory, new, 1, is_drained=False)
            self.assertEqual(answer.is_ok(), finished)

    def test_members_beyond_the_limit_are_spares(self) -> None:
        """Guards against majorities that grow with each announcement."""
        self.announce(0, *[announcement(name) for name in 'abcd'])
        chosen = members_to_register(self.directory, {}, {GROUP: 3})
        self.assertEqual(len(chosen), 3)
        records = {
            GROUP: GroupRecord(
                group_id=GROUP,
                member_ids=frozenset(one.upstream_id for one in chosen),
            )
        }
        self.assertEqual(len(spare_upstreams(self.directory, records)), 1)
        again = members_to_register(self.directory, records, {GROUP: 3})
        self.assertEqual(again, ())


class WatchersTest(unittest.TestCase):
    """Selection of watchers and combination of their results."""

    def test_watchers_are_spread_and_stable(self) -> None:
        """Guards against watchers that fail together or move needlessly."""
        hosts = [
            host(f'p{index}', f'domain-{index % 4}') for index in range(12)
        ]
        domains = {one.host_id: one.failure_domain for one in hosts}
        moved = 0
        for index in range(200):
            upstream_id = UpstreamId(f'u{index}')
            watchers = watchers_of(upstream_id, hosts)
            self.assertEqual(len({domains[one] for one in watchers}), 3)
            fewer = watchers_of(upstream_id, hosts[1:])
            if hosts[0].host_id in watchers:
                moved += 1
            else:
                self.assertEqual(watchers, fewer)
        self.assertLess(moved, 100)
        one_domain = watchers_of(UpstreamId('u'), [host(n) for n in 'pqrs'])
        self.assertEqual(len(one_domain), 3)

    def test_two_watchers_must_see_three_failed_rounds(self) -> None:
        """Guards against a promotion after failures that one watcher saw.

        Outdated failures must not count either.
        """
        track: ProbeTrack | None = None
        for round_at in (0.0, 0.01, 0.25, 0.26, 0.5):
            track = record_probe(track, reachable=False, measured_at=round_at)
        assert track is not None
        self.assertEqual(track.failed_rounds, 3)
        watchers = [HostId(name) for name in 'pqr']
        one = {watchers[0]: track}
        two = {watchers[0]: track, watchers[1]: track}
        self.assertFalse(
            combine_probe_results(one, watchers, 0.5).is_reported_by_enough
        )
        self.assertTrue(
            combine_probe_results(two, watchers, 0.5).is_reported_by_enough
        )
        self.assertFalse(
            combine_probe_results(two, watchers, 0.5).is_reported_by_all
        )
        self.assertFalse(
            combine_probe_results(two, watchers, 3).is_reported_by_enough
        )
        reached = record_probe(track, reachable=True, measured_at=0.75)
        self.assertEqual(reached.failed_rounds, 0)
