"""Versions of expert maps, each of which belongs to one coordinator."""

# Each token has its own range of versions, so that no two coordinators share one.
VERSIONS_PER_TOKEN = 1 << 20


def token_of_version(version: int) -> int:
    """Return the token of the coordinator that made a version.

    Parameters
    ----------
    version : int
        Version of a map; negative if not set.

    Returns
    -------
    int
        0 for the initial map and for no version.
    """
    return max(0, version) // VERSIONS_PER_TOKEN


class VersionSource:
    """Give out the versions of one coordinator, each of them once.

    What the ranks report is not enough: an order that has reached none of them yet may
    still be on its way, and another map must not get its version.

    Parameters
    ----------
    token : int
        Fencing token from the coordinator's election.
    """

    __slots__ = ("_last",)

    def __init__(self, token: int) -> None:
        self._last = token * VERSIONS_PER_TOKEN - 1

    def next_above(self, newest: int) -> int:
        """Return the next version.

        Parameters
        ----------
        newest : int
            The newest version that a rank has seen.

        Returns
        -------
        int
            Higher than that and than all versions before.
        """
        self._last = max(newest, self._last) + 1
        return self._last
