"""Property test of the settings tree against a naive dictionary model."""

import unittest
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from lavendergate.core.commands import ChangeSettings, SettingChange
from lavendergate.core.settings.document import SettingsDocument, SettingValue
from lavendergate.core.settings.in_force import InForceSettings, OfferResult
from lavendergate.core.settings.paths import SettingsTarget
from lavendergate.core.settings.resolution import (
    EffectiveSettings,
    SettingsTree,
)
from lavendergate.core.settings.schema import SCHEMA
from lavendergate.core.settings.tree import (
    apply_changes,
    diff,
    effective_changes,
    explain,
    validate_change,
)
from lavendergate.core.types import (
    CallerId,
    GroupId,
    Region,
    SettingsVersion,
)

KEYS = ('read.max_age_ms', 'queue.limit', 'caller.concurrency')
PLACES = tuple(
    SettingsTarget(region=Region(region), group=GroupId(group), caller=caller)
    for region, group in (('a', 'g1'), ('a', 'g2'), ('b', 'g3'))
    for caller in (None, CallerId('planner'), CallerId('billing'))
)
PATHS = ('/', '/a', '/b', *(place.path for place in PLACES))
HOSTS = 3
OPERATORS = 3
STEPS = 40

Model = dict[tuple[str, str], SettingValue]


@dataclass(frozen=True, kw_only=True)
class Edit:
    """An operator sends a change based on the version that it read last.

    Parameters
    ----------
    reread
        Whether the operator reads the current version immediately before.
    """

    operator: int
    reread: bool
    changes: tuple[SettingChange, ...]


@dataclass(frozen=True, kw_only=True)
class Reread:
    """An operator reads the current version."""

    operator: int


@dataclass(frozen=True, kw_only=True)
class Resend:
    """An operator sends its last change again."""

    operator: int


@dataclass(frozen=True, kw_only=True)
class Deliver:
    """A host is offered the current or an older version.

    Parameters
    ----------
    back
        Number of versions by which the offered one is older than the current.
    """

    host: int
    back: int


Step = Edit | Reread | Resend | Deliver


class Register:
    """Compare-and-set with operation ids, as the replicated log applies it."""

    def __init__(self) -> None:
        self.document = SettingsDocument()
        self.answers: dict[str, bool] = {}

    def change(self, command: ChangeSettings) -> bool:
        """Return whether the change was accepted, also for a resent change."""
        if command.operation_id not in self.answers:
            self.answers[command.operation_id] = self.decide(command)
        return self.answers[command.operation_id]

    def decide(self, command: ChangeSettings) -> bool:
        """Apply a change if it is valid and based on the current version."""
        if command.base_version != self.document.version:
            return False
        match validate_change(self.document, command.changes):
            case Ok(after):
                self.document = after
                return True
            case Err(_):
                return False


@dataclass(kw_only=True)
class Subject:
    """The classes under test; deliberate faults replace one of them."""

    register: type[Register] = Register
    tree: type[SettingsTree] = SettingsTree
    in_force: type[InForceSettings] = InForceSettings


@dataclass(kw_only=True)
class Run:
    """One schedule, applied to the classes under test and to the model."""

    subject: Subject
    register: Register = field(init=False)
    hosts: list[InForceSettings] = field(init=False)
    delivered: list[int] = field(default_factory=lambda: [0] * HOSTS)
    documents: list[SettingsDocument] = field(init=False)
    models: list[Model] = field(default_factory=lambda: [{}])
    read: list[int] = field(default_factory=lambda: [0] * OPERATORS)
    sent: dict[int, tuple[ChangeSettings, bool]] = field(default_factory=dict)
    operations: int = 0

    def __post_init__(self) -> None:
        """Start with the empty tree everywhere."""
        self.register = self.subject.register()
        self.hosts = [self.subject.in_force(now=0) for _ in range(HOSTS)]
        self.documents = [self.register.document]

    def perform(self, step: Step) -> None:
        """Perform a step and compare the result with the model."""
        match step:
            case Edit():
                self.edit(step)
            case Reread():
                self.read[step.operator] = len(self.models) - 1
            case Resend() if step.operator in self.sent:
                command, first = self.sent[step.operator]
                assert self.register.change(command) is first
            case Deliver():
                self.deliver(step)
        assert self.register.document.version == len(self.models) - 1
        if isinstance(step, Edit):
            self.compare(self.register.document, self.models[-1])

    def edit(self, step: Edit) -> None:
        """Send a change and update the model as a dictionary would."""
        self.operations += 1
        if step.reread:
            self.read[step.operator] = len(self.models) - 1
        base = self.read[step.operator]
        command = ChangeSettings(
            operation_id=f'operation-{self.operations}',
            base_version=SettingsVersion(base),
            author=f'operator-{step.operator}',
            changes=step.changes,
        )
        accepted = self.register.change(command)
        self.sent[step.operator] = (command, accepted)
        is_current = base == len(self.models) - 1
        assert accepted is (is_current and _is_valid(step.changes))
        if accepted:
            self.accept(step.changes)

    def accept(self, changes: Sequence[SettingChange]) -> None:
        """Add the next version to the model; compare the dry run and diff."""
        before = self.models[-1]
        after = dict(before)
        for change in changes:
            after.pop((change.path, change.key), None)
            if change.value is not None:
                after[change.path, change.key] = change.value
        predicted = {
            (item.target.path, item.key, item.before, item.after)
            for item in effective_changes(self.documents[-1], changes, PLACES)
        }
        expected = {
            (place.path, key, _inherit(before, place, key), value)
            for place in PLACES
            for key in KEYS
            if (value := _inherit(after, place, key))
            != _inherit(before, place, key)
        }
        assert predicted == expected
        changed = {
            (item.path, item.key)
            for item in diff(self.documents[-1], self.register.document)
        }
        assert changed == {
            place
            for place in before.keys() | after.keys()
            if before.get(place) != after.get(place)
        }
        self.models.append(after)
        self.documents.append(self.register.document)

    def deliver(self, step: Deliver) -> None:
        """Offer a host the current or an older version."""
        version = max(len(self.models) - 1 - step.back, 0)
        host = self.hosts[step.host]
        host.offer(self.documents[version], now=0)
        newest = max(self.delivered[step.host], version)
        self.delivered[step.host] = newest
        assert host.version == newest
        for place in PLACES:
            location = (place.region, place.group, place.caller)
            _compare(
                host.tree.effective_settings(*location),
                self.models[newest],
                place,
            )

    def compare(self, document: SettingsDocument, model: Model) -> None:
        """Compare effective values and their origins with the model."""
        tree = self.subject.tree(document)
        for place in PLACES:
            location = (place.region, place.group, place.caller)
            for _ in range(2):
                _compare(tree.effective_settings(*location), model, place)
            for origin in explain(document, *location):
                if origin.path is not None:
                    assert model[origin.path, origin.key] == origin.value


def _is_valid(changes: Sequence[SettingChange]) -> bool:
    places = {(change.path, change.key) for change in changes}
    return len(places) == len(changes) > 0 and all(
        change.value is None
        or (
            change.value != -1
            and (change.key != 'queue.limit' or change.path.count('/') < 3)
        )
        for change in changes
    )


def _inherit(
    model: Model, place: SettingsTarget, key: str
) -> SettingValue | None:
    parts = [place.region, place.group, place.caller]
    for depth in (3, 2, 1, 0):
        names = [str(part) for part in parts[:depth]]
        found = model.get(('/' + '/'.join(names), key))
        if found is not None:
            return found
    return SCHEMA[key].default


def _compare(
    actual: EffectiveSettings, model: Model, place: SettingsTarget
) -> None:
    for key in KEYS:
        value = getattr(actual, SCHEMA[key].attribute)
        assert value == _inherit(model, place, key), (place.path, key, value)


def _random_changes(chance: Random) -> tuple[SettingChange, ...]:
    values = (*range(1, 10), None, None, -1)
    return tuple(
        SettingChange(
            path=chance.choice(PATHS),
            key=chance.choice(KEYS),
            value=chance.choice(values),
        )
        for _ in range(chance.choice((1, 1, 1, 2, 3)))
    )


def random_step(chance: Random) -> Step:
    """Return a random step; most edits read the current version first."""
    operator = chance.randrange(OPERATORS)
    kind = chance.choice((Edit, Edit, Edit, Reread, Resend, Deliver, Deliver))
    if kind is Edit:
        return Edit(
            operator=operator,
            reread=chance.random() < 0.7,
            changes=_random_changes(chance),
        )
    if kind is Deliver:
        back = chance.choice((0, 0, 1, 2, 5))
        return Deliver(host=chance.randrange(HOSTS), back=back)
    return (
        Reread(operator=operator)
        if kind is Reread
        else Resend(operator=operator)
    )


def check(subject: Subject) -> None:
    """Run random schedules against the subject."""

    # Schedules are drawn from a seed: drawn step by step, most of them
    # were short and few changes were accepted.
    @settings(max_examples=100, derandomize=True, deadline=None, database=None)
    @given(st.integers(0, 2**32 - 1))
    def run(seed: int) -> None:
        chance = Random(seed)
        schedule = Run(subject=subject)
        for _ in range(STEPS):
            schedule.perform(random_step(chance))

    run()


class RepeatingRegister(Register):
    """Fault: a resent change is evaluated again."""

    def change(self, command: ChangeSettings) -> bool:
        return self.decide(command)


class UnconditionalRegister(Register):
    """Fault: a change is accepted whatever version it is based on."""

    def decide(self, command: ChangeSettings) -> bool:
        match validate_change(self.document, command.changes):
            case Ok(after):
                self.document = after
                return True
            case Err(_):
                return False


class AliasingRegister(Register):
    """Fault: a change also alters the nodes of the previous version."""

    def decide(self, command: ChangeSettings) -> bool:
        before = self.document
        accepted = super().decide(command)
        if accepted:
            before.nodes.clear()
            before.nodes.update(self.document.nodes)
        return accepted


class SkippedGroupTree(SettingsTree):
    """Fault: a caller without a node inherits from the region."""

    def effective_settings(
        self,
        region: Region | None = None,
        group: GroupId | None = None,
        caller: CallerId | None = None,
    ) -> EffectiveSettings:
        path = f'/{region}/{group}/{caller}'
        if caller and path not in self.document.nodes:
            group = None
        return super().effective_settings(region, group, caller)


class LastOfferSettings(InForceSettings):
    """Fault: the version offered last is in force, also an older one."""

    def offer(self, document: SettingsDocument, now: float) -> OfferResult:
        self._tree = SettingsTree(document)
        return OfferResult.taken


class StaleCacheSettings(InForceSettings):
    """Fault: cached effective values outlive the arrival of a new version."""

    def offer(self, document: SettingsDocument, now: float) -> OfferResult:
        resolved = self._tree._resolved
        answer = super().offer(document, now)
        self._tree._resolved = resolved
        return answer


class SettingsPropertyTest(unittest.TestCase):
    """The tree behaves as a dictionary with inheritance."""

    def test_tree_equals_model(self) -> None:
        """Guards against settings changes lost, applied twice or reverted."""
        check(Subject())

    def test_deliberate_faults_are_detected(self) -> None:
        """Guards against a property that holds with a deliberate fault."""
        faults = (
            Subject(register=RepeatingRegister),
            Subject(register=UnconditionalRegister),
            Subject(register=AliasingRegister),
            Subject(tree=SkippedGroupTree),
            Subject(in_force=LastOfferSettings),
            Subject(in_force=StaleCacheSettings),
        )
        for fault in faults:
            with self.subTest(fault=fault):
                with self.assertRaises(AssertionError):
                    check(fault)

    def test_applied_changes_leave_the_document_alone(self) -> None:
        """Guards against a change that alters the version it is based on."""
        change = SettingChange(path='/a', key='queue.limit', value=1)
        first = apply_changes(SettingsDocument(), [change])
        other = SettingChange(path='/a', key='queue.limit', value=2)
        apply_changes(first, [other])
        self.assertEqual(first.nodes, {'/a': {'queue.limit': 1}})
