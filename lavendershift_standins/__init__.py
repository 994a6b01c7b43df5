"""Stand-ins for the platform and its backend servers, for tests and the demo.

Four programs implement the protocols of ``docs/PROTOCOLS.md``: a log service, a
membership list, a model engine and a plain HTTP service. Each is a class that a
test runs on its own event loop, and a console script that wraps this class::

    engine = EngineApp(EngineSettings(step_ms=2), SystemClock(), Random(1))
    port = await engine.start()
    ...
    await engine.stop()

Faults can be injected into each of them at run time, see
``lavendershift_standins.faults``.
"""
