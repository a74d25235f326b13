"""Checks what callers are told whose call ends before it is sent."""

from contextlib import ExitStack, contextmanager
from types import SimpleNamespace
from unittest.mock import Mock

import gevent
import pytest

from toucanspool.gateway.call import RefusalCause, Refused
from toucanspool.gateway.call_dispatcher import CallDispatcher
from toucanspool.limits.graceful_stop import GracefulStop
from toucanspool.retries.deadline import Deadline


class NoRoom:
    """Let every stream wait for ever."""

    @contextmanager
    def hold(self, team, urgency):
        """Wait."""
        gevent.sleep(60.0)
        yield


def test_a_call_whose_time_ends_before_admission_has_not_run():
    """Guards against "unknown" for a call that no upstream has received."""
    dispatcher = CallDispatcher(
        Mock(), Mock(), lambda service: NoRoom(), GracefulStop()
    )
    call = SimpleNamespace(
        service="s", team="t", urgency=0, deadline=Deadline.after(1.0, 0.0)
    )
    with (
        ExitStack() as closing,
        gevent.Timeout(0.01),
        pytest.raises(Refused) as refused,
    ):
        dispatcher.serve(call, closing)
    assert refused.value.cause is RefusalCause.DEADLINE
    assert not refused.value.may_have_run
    assert dispatcher.running == 0
