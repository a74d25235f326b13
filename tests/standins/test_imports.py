"""No module that tests import patches the interpreter; test workers need threads."""

from gevent import monkey


def test_threads_are_not_patched():
    assert not monkey.is_module_patched("threading")
