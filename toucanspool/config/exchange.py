"""The exchange of configuration between two processes on any connection.

Each side says its revision; the one behind pulls, and the one ahead answers with
the changes in between, or with the whole configuration where it keeps them no
longer.
"""

from toucanspool.config.service import ConfigService
from toucanspool.settings.settings import Settings
from toucanspool.wire.connection import Connection, ConnectionLost
from toucanspool.wire.gen.messages.ttypes import Frame, Hello, Pull


class ConfigExchange:
    """Bring two processes to the same revision.

    Parameters
    ----------
    cfg : Settings
        The process's settings.
    config : ConfigService
        Its configuration.
    """

    __slots__ = ("_cfg", "_config")

    def __init__(self, cfg: Settings, config: ConfigService) -> None:
        self._cfg = cfg
        self._config = config

    def hello(self) -> Hello:
        """Return this process's introduction."""
        return Hello(
            instance=self._cfg.instance,
            role=self._cfg.role,
            failure_domain=self._cfg.failure_domain,
            revision=self._config.revision,
        )

    def handle(self, conn: Connection, frame: Frame) -> bool:
        """Take a message if it belongs to the exchange.

        Parameters
        ----------
        conn : Connection
            Where it came from.
        frame : Frame
            The message.

        Returns
        -------
        bool
            Whether it did.
        """
        try:
            taken = self._dispatch(conn, frame)
        except ConnectionLost:
            return True
        if taken:
            self._config.record_peer_contact()
        return taken

    def reconcile(self, conn: Connection, revision: int) -> None:
        """Pull if the other side is ahead, answer if it is behind.

        Parameters
        ----------
        conn : Connection
            The connection to the other side.
        revision : int
            Its revision.

        Raises
        ------
        ConnectionLost
            The connection is gone.
        """
        own = self._config.revision
        if revision > own:
            conn.send(Frame(pull=Pull(call=0, after=own, limit=0)))
        elif revision < own:
            answer = self._config.answer_pull(Pull(call=0, after=revision, limit=0))
            conn.send(Frame(changes=answer))

    def _dispatch(self, conn: Connection, frame: Frame) -> bool:
        if frame.hello is not None:
            self.reconcile(conn, frame.hello.revision)
        elif frame.pull is not None:
            conn.send(Frame(changes=self._config.answer_pull(frame.pull)))
        elif frame.changes is not None:
            self._config.receive_changes(frame.changes)
            # A message holds a bounded number of changes: pull the rest.
            if self._config.revision < frame.changes.newest:
                self.reconcile(conn, frame.changes.newest)
        else:
            return False
        return True
