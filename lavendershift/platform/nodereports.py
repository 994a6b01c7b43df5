"""Log lines and counters for what happens in a router process beside requests."""

from datetime import timedelta

from lavendershift.instruments import Instruments
from lavendershift.logs import (
    Event,
    EventFields,
    EventLog,
    format_traceback,
    in_milliseconds,
)
from lavendershift.serverlimits import LimitState
from lavendershift.serversignals import Incarnation
from lavendershift.serverstates import ServerEntry


class NodeReports:
    """Reports changes of servers, failure domains, tokens and dependencies."""

    def __init__(self, log: EventLog, instruments: Instruments) -> None:
        self._log = log
        self._instruments = instruments

    def report_call(self, call: str, outcome: str, duration: timedelta) -> None:
        """Count a call to the store."""
        self._instruments.count("store_calls", call, outcome)
        self._instruments.observe("store_call", max(duration, timedelta()), call)

    def report_leaving(self, entry: ServerEntry) -> None:
        """Report a server's shutdown, announced in a response or by another VM."""
        self._log.write(
            Event.SERVER_CHANGED, server=entry.id, result="leaving", reason="answer"
        )

    def report_limit(
        self, incarnation: Incarnation, state: LimitState, is_own: bool
    ) -> None:
        """Report a server's new limit, named in a response or by another VM."""
        fields = EventFields(
            server=incarnation[0],
            version=state.version,
            result="unlimited" if state.rate is None else "limited",
            reason="answer" if is_own else "vm",
        )
        if state.rate is not None:
            fields["known_limit"] = state.rate
        self._log.write(Event.SERVER_LIMITED, **fields)

    def report_evacuation(self, failure_domain: str, begins: bool) -> None:
        """Report that an evacuation begins or ends."""
        result = "begun" if begins else "ended"
        self._log.write(Event.DOMAIN_EVACUATED, name=failure_domain, result=result)

    def report_silence(self, entry: ServerEntry, is_silent: bool) -> None:
        """Report that a server fell silent or was heard again."""
        change = "silent" if is_silent else "heard"
        self._instruments.count("server_silences", change)
        self._log.write(Event.SERVER_CHANGED, server=entry.id, result=change)

    def report_speed(self, entry: ServerEntry, state: str, estimates: str) -> None:
        """Report that a server became slower or faster than its peers."""
        self._instruments.count("server_speed_changes", state)
        self._log.write(
            Event.SERVER_CHANGED, server=entry.id, result=state, reason=estimates
        )

    def report_draw(self, customer: str, tokens: int, granted: int, free: int) -> None:
        """Report tokens drawn from a total, or returned if negative."""
        name = "tokens_drawn" if tokens > 0 else "tokens_returned"
        self._instruments.count(name, customer, amount=abs(tokens))
        self._log.write(
            Event.TOKENS_DRAWN,
            customer=customer,
            tokens=tokens,
            granted_tokens=granted,
            free_tokens=free,
        )

    def report_loan(self, customer: str, tokens: int, free: int) -> None:
        """Report tokens borrowed from another VM, or lent to it if negative."""
        name = "tokens_borrowed" if tokens > 0 else "tokens_lent"
        self._instruments.count(name, customer, amount=abs(tokens))
        self._log.write(
            Event.TOKENS_LENT, customer=customer, tokens=tokens, free_tokens=free
        )

    def report_adopted(self, customer: str, tokens: int) -> None:
        """Report tokens adopted from the VM's last process."""
        self._instruments.count("tokens_adopted", customer, amount=tokens)
        self._log.write(Event.TOKENS_ADOPTED, customer=customer, tokens=tokens)

    def report_lost(self, tokens: int) -> None:
        """Report tokens that the VM held when it lost power."""
        self._instruments.count("tokens_lost", amount=tokens)
        self._log.write(Event.TOKENS_LOST, tokens=tokens)

    def report_loop_failure(
        self, name: str, error: BaseException, pause: timedelta
    ) -> None:
        """Report a failed loop; readiness doesn't change.

        The other VMs read the same input, so leaving the list of VMs could leave
        none for callers. What a loop maintains gets old instead: a VM that can't renew
        its row is dropped by the others, and ``belief_age`` grows.
        """
        self._instruments.count("loop_failures", name)
        self._log.write(
            Event.LOOP_FAILED,
            name=name,
            error=type(error).__name__,
            place=format_traceback(error),
            waited_ms=in_milliseconds(pause),
        )

    def report_grants_reached(self, reached: bool, reason: str) -> None:
        """Report that the quota records can be reached again, or no longer."""
        event = Event.DEPENDENCY_FOUND if reached else Event.DEPENDENCY_LOST
        self._log.write(event, name="grants", reason=reason)
