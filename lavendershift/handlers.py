"""The HTTP interface to callers, operators and health checks."""

import math
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from lavendershift import signals
from lavendershift.admission import RequestContext
from lavendershift.completions import parse_completion
from lavendershift.errors import CIRCUMSTANTIAL_KINDS, ErrorKind, Ran, RequestError
from lavendershift.nodes import CallerSettings
from lavendershift.servicecalls import ServiceCall
from lavendershift.statuses import describe_router

if TYPE_CHECKING:
    from lavendershift.router import RouterApplication

BODILESS_METHODS = ("GET", "HEAD")
URL_CHARACTERS = "%/?:@!$&'()*+,;=~-._"  # sent to servers as they came

OPENAI_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    402: "insufficient_quota",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


def describe_error(error: RequestError) -> dict[str, Any]:
    """Return the body that tells a caller of ``error``."""
    answer = error.answer
    message = f"{answer.message} {error.detail}".strip()
    retry_after = answer.retry_after
    return {
        "error": {
            "message": message,
            "type": OPENAI_ERROR_TYPES.get(answer.status, "server_error"),
            "code": error.kind.value,
            "ran": answer.ran.value,
            "consumed": answer.consumed.value,
            "retry_after_ms": None
            if retry_after is None
            else math.ceil(retry_after / timedelta(milliseconds=1)),
        }
    }


class BaseHandler(RequestHandler):
    """Common to all handlers: JSON answers and truthful errors."""

    def initialize(self, router: "RouterApplication") -> None:
        """Take the application that the handler works for."""
        self.router = router

    def set_default_headers(self) -> None:
        """Leave out the server's version."""
        self.clear_header("Server")

    def compute_etag(self) -> None:
        """Send no Etag; answers are never asked for again by one."""

    def send_json(self, data: Any, status: int = 200) -> None:
        """Answer with ``data`` as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(data))

    def send_error_kind(self, error: RequestError) -> None:
        """Answer with the table's answer to ``error``."""
        answer = error.answer
        if answer.retry_after is not None:
            seconds = math.ceil(answer.retry_after.total_seconds())
            self.set_header("Retry-After", str(seconds))
        self.set_header("Ran", answer.ran.value)
        self.send_json(describe_error(error), answer.status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer errors that tornado found itself."""
        kind = ErrorKind.INTERNAL
        if status_code == 413:
            kind = ErrorKind.TOO_LARGE
        elif 400 <= status_code < 500:
            kind = ErrorKind.INVALID_REQUEST
        self.send_error_kind(RequestError(kind))


class HandlerSink:
    """An ``ResponseSink`` that writes to a handler's connection."""

    def __init__(self, handler: BaseHandler) -> None:
        self._handler = handler
        self._buffered = 0
        self.started = False
        self.closed = False

    def begin(self, status: int, content_type: str, attempt: str) -> None:
        """Set status and headers of the answer."""
        self._handler.set_status(status)
        self._handler.set_header("Content-Type", content_type)
        self._handler.set_header("Request-Attempt", attempt)

    def write(self, data: bytes) -> int:
        """Send bytes; return how many are not yet taken by the caller.

        That is an upper bound: bytes count until all have been taken.
        """
        if self.closed:
            return 0
        connection = self._handler.request.connection
        assert isinstance(connection, HTTP1Connection)
        if data and self.started:
            connection.write(data)
        elif data:
            self.started = True
            self._handler.write(data)
            self._handler.flush()
        self._buffered += len(data)
        if not connection.stream.writing():
            self._buffered = 0
        return self._buffered

    def finish(self, data: bytes = b"") -> None:
        """End the answer as complete."""
        if not self.closed:
            self.started = True
            self._handler.finish(data)

    def fail(self, error: RequestError) -> None:
        """Answer with ``error``, or end a begun stream with an error event."""
        if self.closed:
            return
        if not self.started:
            self._handler.clear_header("Request-Attempt")
            self._handler.send_error_kind(error)
            return
        event = msgspec.json.encode(describe_error(error))
        self._handler.finish(b"data: " + event + b"\n\n")


class RequestStageHandler(BaseHandler):
    """A handler whose requests pass through admission."""

    def prepare(self) -> None:
        """Create the sink; small writes of a stream are sent at once."""
        self.sink = HandlerSink(self)
        connection = self.request.connection
        if isinstance(connection, HTTP1Connection):
            connection.stream.set_nodelay(True)

    def on_connection_close(self) -> None:
        """Note that the caller has gone."""
        self.sink.closed = True

    def may_have_run(self, context: RequestContext | None, error: RequestError) -> bool:
        """Whether a refused request may have run when it was sent before."""
        return False

    async def run_stages(
        self, work: Callable[[RequestContext], Awaitable[None]]
    ) -> None:
        """Admit the request, run ``work`` and answer any error kind."""
        router = self.router
        signals.request_received.send(self)
        context = None
        try:
            context = router.admission.admit(self.request.headers)
            signals.request_admitted.send(self, context=context)
            await work(context)
            signals.request_answered.send(self, context=context)
        except RequestError as error:
            error.earlier_unknown = self.may_have_run(context, error)
            signals.request_refused.send(self, context=context, error=error)
            self.sink.fail(error)
        except StreamClosedError:
            self.sink.closed = True
        except Exception as error:
            signals.request_refused.send(
                self, context=context, error=RequestError(ErrorKind.INTERNAL)
            )
            router.report_fault(error)
            self.sink.fail(RequestError(ErrorKind.INTERNAL))
        finally:
            if context is not None:
                router.admission.release(context)


class CompletionHandler(RequestStageHandler):
    """``POST /v1/completions`` and ``POST /v1/chat/completions``."""

    async def post(self, kind: str) -> None:
        """Run a completion."""
        await self.run_stages(lambda context: self._complete(context, kind))

    async def _complete(self, context: RequestContext, kind: str) -> None:
        caller = context.caller
        limit = caller.max_output_tokens
        resolve_model = self.router.configuration.resolve_model
        chat = kind != "completions"
        request = parse_completion(self.request.body, chat, limit, resolve_model)
        check_model(self.router, caller, request.model)
        await self.router.completions.run(context, request, self.sink)


class ServiceHandler(RequestStageHandler):
    """Any method on ``/services/NAME/PATH``."""

    async def _serve(self, service: str, path: str) -> None:
        await self.run_stages(lambda context: self._call(context, service, path))

    get = post = put = patch = delete = head = _serve  # type: ignore[assignment]

    async def _call(self, context: RequestContext, service: str, path: str) -> None:
        settings = self.router.configuration.services().get(service)
        if settings is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE)
        allowed = context.caller.services
        if allowed and service not in allowed:
            raise RequestError(ErrorKind.FORBIDDEN, f"service {service}")
        method = self.request.method or "GET"
        if self.request.body and method in BODILESS_METHODS:
            raise RequestError(ErrorKind.INVALID_REQUEST, f"{method} with a body")
        content_type = self.request.headers.get("Content-Type", "")
        check_call(f"/{path}", content_type)
        call = ServiceCall(
            service=service,
            method=method,
            path=self._find_sent_path(),
            content_type=content_type,
            body=self.request.body,
            price=settings.price_tokens,
            repeatable=settings.is_repeatable(method, f"/{path}"),
        )
        await self.router.calls.run(context, call, self.sink)

    def may_have_run(self, context: RequestContext | None, error: RequestError) -> bool:
        """Whether a call that may not be repeated may have run before.

        The key stands for the call wherever it was sent, so "not run" speaks
        of all submissions.
        """
        if error.kind not in CIRCUMSTANTIAL_KINDS or self._is_first_by_form():
            return False
        if context is None:
            return True
        return self.router.calls.may_have_run(context, error)

    def _is_first_by_form(self) -> bool:
        """Whether the call has no key or may be repeated anyway."""
        if not self.request.headers.get("Idempotency-Key"):
            return True
        name, _, path = self.request.path.removeprefix("/services/").partition("/")
        service = self.router.configuration.services().get(name)
        method = self.request.method or "GET"
        return service is not None and service.is_repeatable(method, f"/{path}")

    def _find_sent_path(self) -> str:
        """Return path and query for the server, escaped as the caller did."""
        path = "/" + self.request.path.split("/", 3)[3]
        query = f"?{self.request.query}" if self.request.query else ""
        return quote(path + query, safe=URL_CHARACTERS)


class ModelsHandler(BaseHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models that the caller may use."""
        try:
            caller = self.router.admission.authenticate(self.request.headers)
        except RequestError as error:
            self.send_error_kind(error)
            return
        names = [
            name
            for name in self.router.list_models()
            if not caller.models or name in caller.models
        ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "lavendershift"}
            for name in names
        ]
        self.send_json({"object": "list", "data": data})


class RoutersHandler(BaseHandler):
    """``GET /v1/routers``: which router to use."""

    def get(self) -> None:
        """Answer with router addresses, best first."""
        customer = self.get_query_argument("customer", "")
        domain = self.get_query_argument(
            "failure_domain", self.router.settings.vm.failure_domain
        )
        directory = self.router.list_routers(customer, domain)
        self.send_json(
            {
                "routers": [router._asdict() for router in directory.routers],
                "ttl_s": math.ceil(directory.ttl.total_seconds()),
            }
        )


class StatusHandler(BaseHandler):
    """``GET /v1/status``: the router's state, for operators."""

    def get(self) -> None:
        """Answer with offsets, readiness and what is in flight."""
        self.send_json(describe_router(self.router))


class HealthHandler(BaseHandler):
    """``GET /healthz``: the process is alive."""

    def get(self) -> None:
        """Answer that it is."""
        self.send_json({"status": "ok"})


class ReadyHandler(BaseHandler):
    """``GET /readyz``: the router takes requests."""

    def get(self) -> None:
        """Answer 200 if it does, else 503 with the reason."""
        fault = self.router.find_fault()
        if fault is None:
            self.send_json({"status": "ready"})
        else:
            self.send_json({"status": fault.value}, 503)


class UnknownPathHandler(BaseHandler):
    """Any other path."""

    def prepare(self) -> None:
        """Answer that there is nothing here."""
        self.set_header("Ran", Ran.NO.value)
        self.send_json(
            describe_error(RequestError(ErrorKind.INVALID_REQUEST, "no such path")), 404
        )


def check_model(
    router: "RouterApplication", caller: CallerSettings, model: str
) -> None:
    """Raise where a model does not exist or the caller may not use it."""
    if model not in router.list_models():
        raise RequestError(ErrorKind.UNKNOWN_MODEL, model[:80])
    if caller.models and model not in caller.models:
        raise RequestError(ErrorKind.FORBIDDEN, f"model {model[:80]}")


def check_call(path: str, content_type: str) -> None:
    """Raise for a call that a server may read otherwise than this router.

    ``path`` is unescaped. A path that a server or the HTTP client would
    shorten could slip past the list of calls that may not be repeated.
    """
    segments = path[1:].split("/")
    if {".", ".."} & set(segments) or "" in segments[:-1]:
        raise RequestError(ErrorKind.INVALID_REQUEST, "path: not in its shortest form")
    if not path.isprintable() or "\\" in path:
        raise RequestError(ErrorKind.INVALID_REQUEST, "path: unexpected character")
    if not content_type.isascii() or not content_type.isprintable():
        raise RequestError(
            ErrorKind.INVALID_REQUEST, "header Content-Type: unexpected character"
        )


def make_web_application(router: "RouterApplication") -> Application:
    """Return the tornado application that serves ``router``."""
    arguments = {"router": router}
    return Application(
        [
            (r"/v1/(chat/completions|completions)", CompletionHandler, arguments),
            (r"/services/([A-Za-z0-9_.-]+)/(.*)", ServiceHandler, arguments),
            (r"/v1/models", ModelsHandler, arguments),
            (r"/v1/routers", RoutersHandler, arguments),
            (r"/v1/status", StatusHandler, arguments),
            (r"/healthz", HealthHandler, arguments),
            (r"/readyz", ReadyHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )
