"""Estimates of how fast backend servers are, and how much load each takes well.

Its modules decide from measurements that are passed in, and do no I/O. The design is in
``docs/design/adaptive-capacity.md``.
"""
