"""The interface to the platform's object store."""

from typing import Protocol


class ObjectsUnavailable(Exception):
    """Report a failed request; a put may have taken effect."""


class Objects(Protocol):
    """Read and write objects by name."""

    def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing any of the same name.

        Parameters
        ----------
        name : str
            Name of the object.
        data : bytes
            Content of the object.

        Raises
        ------
        ObjectsUnavailable
            The request failed; the object may have been stored.
        """
        ...

    def get(self, name: str) -> bytes | None:
        """Return the content of an object, or None if it does not exist.

        Parameters
        ----------
        name : str
            Name of the object.

        Returns
        -------
        bytes or None

        Raises
        ------
        ObjectsUnavailable
            The request failed.
        """
        ...
