"""Failures of the tool, each with its exit status."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
EXIT_UNCERTAIN = 6


class CommandFailed(Exception):
    """Report a command that was not carried out.

    Parameters
    ----------
    sentence : str
        What happened and what to do.
    """

    status = EXIT_FAILED

    def __init__(self, sentence: str) -> None:
        super().__init__(sentence)
        self.sentence = sentence


class BadUsage(CommandFailed):
    """Report words that are no command."""

    status = EXIT_USAGE


class Refused(CommandFailed):
    """Report a command that the entry refused."""

    status = EXIT_REFUSED


class Conflicted(CommandFailed):
    """Report that another operator was first."""

    status = EXIT_CONFLICT


class Unavailable(CommandFailed):
    """Report that no entry or platform answered; nothing was changed."""

    status = EXIT_UNAVAILABLE


class Uncertain(CommandFailed):
    """Report that it is not known whether a change was made."""

    status = EXIT_UNCERTAIN
