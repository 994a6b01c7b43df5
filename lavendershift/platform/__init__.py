"""Adapter between lavendershift and the platform that it is deployed on.

No name of the platform's protocols is used outside this package. It decodes settings,
configuration, server entries and requests into the types of the other packages, and
encodes responses, requests to servers and records of the store.
"""
