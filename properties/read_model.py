"""Steps of reads in a random history."""

from lavendergate.core.decisions import (
    BoundedRead,
    ObtainReadIndex,
    Request,
    SessionRead,
    UseMember,
    UsePrimary,
    WaitOnMember,
)
from lavendergate.core.read_index import (
    IndexSource,
    ReaderId,
    ReadersServed,
    ReadIndexEffect,
    StartRound,
)
from lavendergate.core.types import (
    LogPosition,
    UpstreamId,
)
from properties.group_model import MEMBERS
from properties.history_model import History, Proxy

MAX_AGE_MS = 1000


class ReadSteps(History):
    """Steps of reads, and checks that they see the writes that they must."""

    def _read_session(self, proxy: Proxy) -> None:
        session = self._random.choice(self._sessions)
        position = self._decisions.token_position(session.token)
        required = set(session.acknowledged)
        self._read(proxy, SessionRead(position=position), required, 'I1')

    def _read_fresh(self, proxy: Proxy) -> None:
        required = set(self._acknowledged_at)
        self._read(proxy, SessionRead(position=None), required, 'fresh')

    def _read_bounded(self, proxy: Proxy) -> None:
        oldest = self._now - MAX_AGE_MS / 1000
        required = {
            write_id
            for write_id, acknowledged_at in self._acknowledged_at.items()
            if acknowledged_at < oldest
        }
        request = BoundedRead(max_age_ms=MAX_AGE_MS)
        self._read(proxy, request, required, 'stated age')

    def _read(
        self,
        proxy: Proxy,
        request: Request,
        required: set[int],
        invariant: str,
    ) -> None:
        match self._route(proxy, request):
            case UseMember(upstream_id=member):
                self._check_read(proxy, member, required, invariant)
            case UsePrimary(upstream_id=member):
                self._check_read(proxy, member, required, invariant)
            case WaitOnMember(upstream_id=member, position=position):
                self._wait_and_read(
                    proxy, member, position, required, invariant
                )
            case ObtainReadIndex(upstream_id=member, term=term):
                reader = ReaderId(self._new_id())
                proxy.readers[reader] = required
                source = IndexSource(
                    primary=member,
                    term=term,
                    needed=self._decisions.required_promises(proxy.view),
                )
                effects = proxy.batcher.add_reader(reader, source)
                self._apply_index_effects(proxy, effects)

    def _wait_and_read(
        self,
        proxy: Proxy,
        name: UpstreamId,
        position: LogPosition,
        required: set[int],
        invariant: str,
    ) -> None:
        self._group.replicate(name, self._random.randrange(3), self._now)
        is_held = self._group.members[name].holds(position)
        if is_held or self._decisions.reads_after_failed_wait:
            self._check_read(proxy, name, required, invariant)
            return
        waited = SessionRead(position=position, has_waited=True)
        self._read(proxy, waited, required, invariant)

    def _check_read(
        self,
        proxy: Proxy,
        name: UpstreamId,
        required: set[int],
        invariant: str,
    ) -> None:
        member = self._group.members[name]
        if member.partition_side != proxy.partition_side:
            return
        if required - member.write_ids():
            self._report_violation(
                f'{invariant}: a read missed an acknowledged write'
            )

    def _apply_index_effects(
        self,
        proxy: Proxy,
        effects: tuple[ReadIndexEffect, ...],
    ) -> None:
        for effect in effects:
            match effect:
                case StartRound(round_id=round_id, primary=primary):
                    proxy.index_requests = [
                        (round_id, name, name == primary) for name in MEMBERS
                    ]
                case ReadersServed(readers=readers, position=position):
                    read = SessionRead(position=position, is_read_index=True)
                    for reader in readers:
                        required = proxy.readers.pop(reader)
                        self._read(proxy, read, required, 'fresh')
                case _:
                    for reader in effect.readers:
                        proxy.readers.pop(reader)

    def _answer_index_request(self, proxy: Proxy) -> None:
        if not proxy.index_requests:
            return
        index = self._random.randrange(len(proxy.index_requests))
        round_id, name, is_primary = proxy.index_requests.pop(index)
        member = self._group.members[name]
        if (
            member.partition_side != proxy.partition_side
            or self._random.random() < 0.1
        ):
            return
        promised_term = member.status(self._now).promised_term
        if is_primary:
            position = member.last_entry
            effects = proxy.batcher.primary_answered(
                round_id, position, promised_term
            )
        else:
            effects = proxy.batcher.replica_answered(
                round_id, name, promised_term
            )
        self._apply_index_effects(proxy, effects)

    def _abandon_round(self, proxy: Proxy) -> None:
        if proxy.index_requests:
            effects = proxy.batcher.abandon(proxy.index_requests[0][0])
            self._apply_index_effects(proxy, effects)
