"""Commands of the operators' program ``lavendershift``, one module a group."""
