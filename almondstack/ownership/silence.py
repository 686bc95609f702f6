"""What the silence of an owner means: it is gone, can do nothing, or only tries."""

from almondstack.jobs import OwnerNotice
from almondstack.ownership.liveness import Liveness, ask_liveness
from almondstack.ownership.preference import Preference, instance_of
from almondstack.ownership.settings import OwnershipSettings
from almondstack.ownership.vacancy import Vacancy

__all__ = ["OwnerSilence"]


class OwnerSilence:
    """Judges an owner of which the store brings nothing, and asks its process where in doubt.

    Parameters
    ----------
    settings : OwnershipSettings
        Times.
    incarnation : str
        Names this process.
    vacancy : Vacancy
        For how long nothing was read of the owner.
    preference : Preference
        Whether this process is the standby.
    """

    __slots__ = ("_incarnation", "_preference", "_settings", "_vacancy")

    def __init__(
        self,
        settings: OwnershipSettings,
        incarnation: str,
        vacancy: Vacancy,
        preference: Preference,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._vacancy = vacancy
        self._preference = preference

    def is_vacant(self, notice: OwnerNotice | None, now_s: float, *, is_new: bool) -> bool:
        """Whether the jobs are nobody's, as far as this process can tell.

        Parameters
        ----------
        notice : OwnerNotice or None
            The newest notice of an owner that was read.
        now_s : float
            Present monotonic time in seconds.
        is_new : bool
            Whether this process has only just started.
        """
        if self._vacancy.is_open(now_s):
            return not self._is_trying(notice, now_s)
        return self._is_gone(notice, now_s, is_new=is_new)

    def _is_trying(self, notice: OwnerNotice | None, now_s: float) -> bool:
        """Whether a silent owner lives and hears the store, so that its writes may come yet."""
        if notice is None or not notice.owner:
            return False
        if self._vacancy.is_doubtful(now_s, self._settings.patience_s):
            return False
        found = ask_liveness(notice.address, self._settings.probe_timeout_s)
        if found is None or found.incarnation != notice.owner:
            return False
        return found.contact_age_s < self._settings.doubt_s

    def _is_gone(self, notice: OwnerNotice | None, now_s: float, *, is_new: bool) -> bool:
        """Whether a silent owner's process does not listen any more, or can't be reached.

        Explanation
        -----------
        A claim is safe at any time; this only decides how soon it is worth one.
        """
        if notice is None:
            return False
        if instance_of(notice.owner) == instance_of(self._incarnation):
            # The process before this one on the same instance; it can't live any more.
            return notice.owner != self._incarnation
        if not self._vacancy.is_doubtful(now_s, self._doubt_s(is_new=is_new)):
            return False
        found = ask_liveness(notice.address, self._settings.probe_timeout_s)
        if found is None:
            # Cut off or frozen: it can do nothing for the jobs, whichever it is.
            return self._vacancy.is_doubtful(now_s, self._settings.mute_s)
        return found.incarnation != notice.owner or self._is_cut_off(found)

    def _is_cut_off(self, owner: Liveness) -> bool:
        """Whether the store that this process hears turns the owner away, or is out of its reach.

        Explanation
        -----------
        An owner whose writes get no answer keeps the jobs: they may be stored, and the
        next one's writes would fare no better.
        """
        is_turned_away = owner.turned_away_s >= self._settings.turned_away_s
        return is_turned_away or owner.contact_age_s >= self._settings.deaf_s

    def _doubt_s(self, *, is_new: bool) -> float:
        """Return the silence after which to ask."""
        if is_new:
            return self._settings.new_doubt_s
        # The standby reads more often, so that it hears each sign sooner.
        is_standby = self._preference.is_standby
        return self._settings.standby_doubt_s if is_standby else self._settings.doubt_s
