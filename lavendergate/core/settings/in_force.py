"""Settings in force on one host."""

import enum

from lavendergate.core.settings.document import SettingsDocument
from lavendergate.core.settings.resolution import SettingsTree
from lavendergate.core.types import SettingsVersion


@enum.unique
class OfferResult(enum.Enum):
    """Result of offering a document to a host."""

    taken = 'taken'
    confirmed = 'confirmed'
    older = 'older'


class InForceSettings:
    """Stores the newest settings that the host has received.

    The version never decreases: an older document, from a lagging control
    host or in a late reply, is ignored. While no control host is reachable,
    the last version stays in force and its age increases.

    Parameters
    ----------
    now
        Start time on the host's monotonic clock, in seconds.

    Examples
    --------
    >>> settings = InForceSettings(now=0)
    >>> settings.offer(SettingsDocument(version=SettingsVersion(2)), now=1)
    <OfferResult.taken: 'taken'>
    >>> settings.offer(SettingsDocument(version=SettingsVersion(1)), now=2)
    <OfferResult.older: 'older'>
    >>> settings.version, settings.age_s(now=4)
    (2, 3)
    """

    def __init__(self, *, now: float) -> None:
        self._tree = SettingsTree(SettingsDocument())
        self._confirmed_at = now

    @property
    def tree(self) -> SettingsTree:
        """Tree of the version in force."""
        return self._tree

    @property
    def version(self) -> SettingsVersion:
        """Version in force; 0 before the first document."""
        return self._tree.version

    def age_s(self, now: float) -> float:
        """Return the seconds since a control host confirmed the version."""
        return now - self._confirmed_at

    def offer(self, document: SettingsDocument, now: float) -> OfferResult:
        """Adopt a document if it is newer than the one in force."""
        if document.version < self.version:
            return OfferResult.older
        if document.version == self.version:
            self._confirmed_at = now
            return OfferResult.confirmed
        self._tree = SettingsTree(document)
        self._confirmed_at = now
        return OfferResult.taken

    def confirm(self, version: SettingsVersion, now: float) -> bool:
        """Record that a control host has no newer version than this one.

        Returns
        -------
        bool
            Whether the version is the one in force.
        """
        is_current = version == self.version
        if is_current:
            self._confirmed_at = now
        return is_current
