"""Cases of an independent review; each folder with a number holds one.

gevent is patched in here, before any other import of a case.
"""

from gevent import monkey

monkey.patch_all()
