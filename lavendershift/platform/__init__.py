"""The adapter between lavendershift and the users' platform.

Every name of the platform's wire ends in this package: it decodes settings,
configuration, server entries and requests into types of the product, and
encodes answers, server requests and rows of the store.
"""
