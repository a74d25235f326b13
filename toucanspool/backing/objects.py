"""The platform's object store, as the project needs it."""

from typing import Protocol


class ObjectsUnavailable(Exception):
    """Report that the object store did not answer; a put may have happened."""


class Objects(Protocol):
    """Keep whole objects by name."""

    def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing the one of that name.

        Parameters
        ----------
        name : str
            The object's name.
        data : bytes
            Its content.

        Raises
        ------
        ObjectsUnavailable
            No answer came; the object may have been stored.
        """
        ...

    def get(self, name: str) -> bytes | None:
        """Return an object's content, or None where there is none.

        Parameters
        ----------
        name : str
            The object's name.

        Returns
        -------
        bytes or None

        Raises
        ------
        ObjectsUnavailable
            No answer came.
        """
        ...
