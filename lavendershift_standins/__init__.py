"""Stand-ins for the platform and the backend servers, for tests and the demo.

Four programs speak the protocols of ``docs/PROTOCOLS.md``: a log service, a
membership list, a model engine and a plain service. Each is a class that a
test embeds in its own loop, and a console script around that class::

    engine = EngineApp(EngineSettings(step_ms=2), SystemClock(), Random(1))
    port = await engine.start()
    ...
    await engine.stop()

All of them accept faults while they run, see ``lavendershift_standins.faults``.
"""
