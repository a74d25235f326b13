"""Start of a world's processes, with time, waits and connections replaced."""

import sys
import time
import traceback
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from types import ModuleType
from typing import Any
from unittest import mock

import gevent

from tests.groups.order_machines import Channel
from tests.groups.order_world import World
from toucanspool.groups import map_coordinator, rank_calls
from toucanspool.groups.rank_calls import RequestReceiver
from toucanspool.wire.connection import ConnectionLost


class _Patched:
    """Stand in for an imported module, with some names replaced."""

    def __init__(self, module: ModuleType, **names: Any) -> None:
        self._module = module
        self.__dict__.update(names)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._module, name)


class _TraceLog:
    """Record log lines in the world's trace."""

    def __init__(self, world: World) -> None:
        self._world = world

    def info(self, event: str, **fields: Any) -> None:
        """Record a line."""
        locals_ = getattr(gevent.getcurrent(), "spawn_tree_locals", None) or {}
        machine = locals_.get("machine")
        shown = " ".join(f"{k}={v}" for k, v in fields.items())
        self._world.note(f"  m{machine.rank if machine else ''} {event}: {shown}")

    warning = info

    def exception(self, event: str, **fields: Any) -> None:
        """Record an unexpected exception."""
        self.info(event, error=repr(sys.exc_info()[1]), **fields)
        self._world.errors.append(traceback.format_exc())


@contextmanager
def started(world: World) -> Iterator[World]:
    """Start all machines in virtual time, and kill them at the end."""

    def spawn(call: Callable[..., Any], *args: Any, **kwargs: Any) -> gevent.Greenlet:
        machine = gevent.getcurrent().spawn_tree_locals["machine"]
        return machine.spawn(partial(call, **kwargs), *args)

    def connect(host: str, port: int, receiver: Any, *, timeout_s: float) -> Channel:
        source = gevent.getcurrent().spawn_tree_locals["machine"]
        target = world.machines[port - 1]
        world.sleep(2 * world.latency_s())
        if target.agent is None:
            raise ConnectionLost("refused")
        near, far = Channel(source), Channel(target)
        near.peer, far.peer = far, near
        near.receiver, far.receiver = receiver, RequestReceiver(target.agent.answer)
        return near

    virtual = {
        "gevent": _Patched(gevent, sleep=world.sleep, spawn=spawn),
        "time": _Patched(time, monotonic=lambda: world.now),
        "_log": _TraceLog(world),
    }
    with ExitStack() as patches:
        for name, module in list(sys.modules.items()):
            if name.startswith("toucanspool.groups."):
                for attribute in virtual.keys() & vars(module).keys():
                    patches.enter_context(
                        mock.patch.object(module, attribute, virtual[attribute])
                    )
        patches.enter_context(
            mock.patch.object(rank_calls, "AsyncResult", world.result)
        )
        patches.enter_context(mock.patch.object(rank_calls, "connect", connect))
        gain = world.min_skew_gain
        for name in ("MIN_SKEW_GAIN", "IDLE_MIN_SKEW_GAIN"):
            patches.enter_context(mock.patch.object(map_coordinator, name, gain))
        for machine in world.machines:
            machine.start()
        try:
            yield world
        except BaseException:
            print("\n".join(world.trace))
            raise
        finally:
            for machine in world.machines:
                machine.kill()
            gevent.idle()
