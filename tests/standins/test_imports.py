"""Guards against imports that monkey-patch threading, which test workers rely on.

Only the process modules call gevent's `patch_all`; importing one in a test would patch
the whole test process.
"""

from gevent import monkey


def test_threads_are_not_patched():
    assert not monkey.is_module_patched("threading")
