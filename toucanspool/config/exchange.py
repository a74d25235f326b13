"""Configuration exchange between two processes over any connection.

Each process announces its revision. The one that is behind pulls. The other answers
with the changes in between, or with the complete configuration if those changes are
no longer kept.
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
        Settings of this process.
    config : ConfigService
        Configuration of this process.
    """

    __slots__ = ("_cfg", "_config")

    def __init__(self, cfg: Settings, config: ConfigService) -> None:
        self._cfg = cfg
        self._config = config

    def hello(self) -> Hello:
        """Return the message that announces this process and its revision."""
        return Hello(
            instance=self._cfg.instance,
            role=self._cfg.role,
            failure_domain=self._cfg.failure_domain,
            revision=self._config.revision,
        )

    def handle(self, conn: Connection, frame: Frame) -> bool:
        """Process a message if it belongs to the configuration exchange.

        Parameters
        ----------
        conn : Connection
            Connection to the sender, on which answers are sent.
        frame : Frame
            The message.

        Returns
        -------
        bool
            Whether the message belongs to the exchange. Also True if the connection
            was lost while answering.
        """
        try:
            handled = self._dispatch(conn, frame)
        except ConnectionLost:
            return True
        if handled:
            self._config.record_peer_contact()
        return handled

    def reconcile(self, conn: Connection, revision: int) -> None:
        """Pull changes if the peer is ahead, send changes if it is behind.

        Parameters
        ----------
        conn : Connection
            Connection to the peer.
        revision : int
            Revision of the peer.

        Raises
        ------
        ConnectionLost
            The connection was lost.
        """
        own = self._config.revision
        if revision > own:
            conn.send(Frame(pull=Pull(call=0, after=own, limit=0)))
        elif revision < own:
            changes = self._config.answer_pull(Pull(call=0, after=revision, limit=0))
            conn.send(Frame(changes=changes))

    def _dispatch(self, conn: Connection, frame: Frame) -> bool:
        if frame.hello is not None:
            self.reconcile(conn, frame.hello.revision)
        elif frame.pull is not None:
            conn.send(Frame(changes=self._config.answer_pull(frame.pull)))
        elif frame.changes is not None:
            self._config.receive_changes(frame.changes)
            # A message holds a limited number of changes; pulls the remaining ones.
            if self._config.revision < frame.changes.newest:
                self.reconcile(conn, frame.changes.newest)
        else:
            return False
        return True
