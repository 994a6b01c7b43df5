"""Named signals that plug-ins connect to.

A plug-in is a module with a function ``register``, which is called once at
start and connects the plug-in's functions to these signals::

    def register():
        signals.request_refused.connect(count_refusal)
"""

from blinker import Namespace

_namespace = Namespace()

initialized = _namespace.signal("initialized")
started = _namespace.signal("started")
stopping = _namespace.signal("stopping")
stopped = _namespace.signal("stopped")

request_received = _namespace.signal("request_received")
request_admitted = _namespace.signal("request_admitted")
request_dispatched = _namespace.signal("request_dispatched")
request_retried = _namespace.signal("request_retried")
request_answered = _namespace.signal("request_answered")
request_refused = _namespace.signal("request_refused")

configuration_changed = _namespace.signal("configuration_changed")
record_folded = _namespace.signal("record_folded")
server_ejected = _namespace.signal("server_ejected")
