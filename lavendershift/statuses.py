"""The state of a router that ``GET /v1/status`` shows to operators."""

from typing import TYPE_CHECKING, TypedDict

from lavendershift.ledgersessions import LedgerSession

if TYPE_CHECKING:
    from lavendershift.router import RouterApplication


class LedgerStatus(TypedDict):
    """Replay progress and unconfirmed records of one ledger stream.

    ``log_silent_s`` is the age in seconds of the log service's latest response, or
    ``None`` before the stream is followed. ``restored_bytes`` is the size of the
    checkpoint that the state was restored from.
    """

    stream: str
    next_offset: int
    end_offset: int
    log_silent_s: float | None
    log_reachable: bool
    unconfirmed_records: int
    incarnations: list[str]
    restored_bytes: int


class RouterStatus(TypedDict):
    """State of a router; ``peers`` has the configuration offset of each peer."""

    vm: str
    failure_domain: str
    incarnation: str
    ready: bool
    fault: str | None
    config_offset: int
    ledgers: list[LedgerStatus]
    log_received_bytes: int
    in_flight: int
    servers: dict[str, bool]
    peers: dict[str, int]
    counters: dict[str, int]


def describe_session(session: LedgerSession) -> LedgerStatus:
    """Return the status of one ledger stream."""
    follower = session.follower
    silent_s = None
    if follower is not None:
        silent_s = round(follower.response_age.total_seconds(), 1)
    return LedgerStatus(
        stream=session.stream,
        next_offset=session.ledger.next_offset,
        end_offset=follower.end_offset if follower else 0,
        log_silent_s=silent_s,
        log_reachable=session.log_reachable,
        unconfirmed_records=session.participant.writer.backlog,
        incarnations=session.ledger.list_live(),
        restored_bytes=session.restored_bytes,
    )


def describe_router(router: "RouterApplication") -> RouterStatus:
    """Return the status of ``router``."""
    fault = router.find_fault()
    servers = router.configuration.servers()
    heartbeats = router.peers.list_reachable()
    return RouterStatus(
        vm=router.settings.vm.name,
        failure_domain=router.settings.vm.failure_domain,
        incarnation=router.incarnation,
        ready=fault is None,
        fault=None if fault is None else fault.value,
        config_offset=router.feed.offset,
        ledgers=[describe_session(session) for session in router.sessions],
        log_received_bytes=router.log.received_bytes,
        in_flight=router.admission.in_flight,
        servers={name: router.pool.is_available(name) for name in servers},
        peers={vm: heartbeat.config_offset for vm, heartbeat in heartbeats.items()},
        counters=dict(router.metrics.snapshot().counters),
    )
