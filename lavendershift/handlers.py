"""HTTP request handlers for callers, operators and health checks."""

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
from lavendershift.errors import TRANSIENT_REFUSALS, ErrorKind, Ran, RequestError
from lavendershift.nodes import CallerSettings
from lavendershift.servicecalls import ServiceCall
from lavendershift.statuses import describe_router

if TYPE_CHECKING:
    from lavendershift.router import RouterApplication

BODILESS_METHODS = ("GET", "HEAD")
# Characters forwarded to servers without escaping.
UNESCAPED_CHARACTERS = "%/?:@!$&'()*+,;=~-._"

OPENAI_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    402: "insufficient_quota",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


def describe_error(error: RequestError) -> dict[str, Any]:
    """Return the JSON body of the response to ``error``, in OpenAI's format."""
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
    """Base of all handlers, with JSON responses and errors from the error table."""

    def initialize(self, router: "RouterApplication") -> None:
        """Store the application that the handler belongs to."""
        self.router = router

    def set_default_headers(self) -> None:
        """Omit the ``Server`` header, which names tornado's version."""
        self.clear_header("Server")

    def compute_etag(self) -> None:
        """Send no ``Etag`` header, as callers make no conditional requests."""

    def send_json(self, data: Any, status: int = 200) -> None:
        """Send ``data`` as a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(data))

    def send_request_error(self, error: RequestError) -> None:
        """Send the response to ``error`` from the error table."""
        answer = error.answer
        if answer.retry_after is not None:
            seconds = math.ceil(answer.retry_after.total_seconds())
            self.set_header("Retry-After", str(seconds))
        self.set_header("Ran", answer.ran.value)
        self.send_json(describe_error(error), answer.status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send the response to an error that tornado raised itself."""
        kind = ErrorKind.INTERNAL
        if status_code == 413:
            kind = ErrorKind.TOO_LARGE
        elif 400 <= status_code < 500:
            kind = ErrorKind.INVALID_REQUEST
        self.send_request_error(RequestError(kind))


class HandlerSink:
    """A ``ResponseSink`` that writes a response to a handler's connection."""

    def __init__(self, handler: BaseHandler) -> None:
        self._handler = handler
        self._buffered_bytes = 0
        self.started = False
        self.closed = False

    def begin(self, status: int, content_type: str, attempt: str) -> None:
        """Set the status and the headers of the response."""
        self._handler.set_status(status)
        self._handler.set_header("Content-Type", content_type)
        self._handler.set_header("Request-Attempt", attempt)

    def write(self, data: bytes) -> int:
        """Send bytes and return how many bytes are buffered for the caller.

        This is an upper bound: bytes count as buffered until the connection's
        whole write buffer has drained.
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
        self._buffered_bytes += len(data)
        if not connection.stream.writing():
            self._buffered_bytes = 0
        return self._buffered_bytes

    def finish(self, data: bytes = b"") -> None:
        """End the response as complete."""
        if not self.closed:
            self.started = True
            self._handler.finish(data)

    def fail(self, error: RequestError) -> None:
        """Send ``error``, as an error event if the response has started."""
        if self.closed:
            return
        if not self.started:
            self._handler.clear_header("Request-Attempt")
            self._handler.send_request_error(error)
            return
        event = msgspec.json.encode(describe_error(error))
        self._handler.finish(b"data: " + event + b"\n\n")


class AdmittedHandler(BaseHandler):
    """Base of handlers whose requests need admission."""

    def prepare(self) -> None:
        """Create the sink and disable Nagle's algorithm.

        Events of a stream are small writes that must not be delayed.
        """
        self.sink = HandlerSink(self)
        self.context: RequestContext | None = None
        connection = self.request.connection
        if isinstance(connection, HTTP1Connection):
            connection.stream.set_nodelay(True)

    def on_connection_close(self) -> None:
        """Mark the sink as closed by the caller."""
        self.sink.closed = True

    def may_have_run(self, context: RequestContext | None, error: RequestError) -> bool:
        """Return whether an earlier submission of a refused request may have run."""
        return False

    async def run_admitted(
        self, work: Callable[[RequestContext], Awaitable[None]]
    ) -> None:
        """Admit the request, run ``work`` and send an error response if it fails."""
        router = self.router
        signals.request_received.send(self)
        context = None
        try:
            context = router.admission.admit(self.request.headers)
            self.context = context
            router.handlers.add(self)
            signals.request_admitted.send(self, context=context)
            await work(context)
            signals.request_answered.send(self, context=context)
        except RequestError as error:
            error.may_have_run_before = self.may_have_run(context, error)
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
            router.handlers.discard(self)
            if context is not None:
                router.admission.release(context)

    def end_request(self, error: RequestError) -> None:
        """End a request in flight with ``error``; what comes later is dropped."""
        signals.request_refused.send(self, context=self.context, error=error)
        self.sink.fail(error)
        self.sink.closed = True


class CompletionHandler(AdmittedHandler):
    """``POST /v1/completions`` and ``POST /v1/chat/completions``."""

    async def post(self, kind: str) -> None:
        """Serve a completion or a chat completion."""
        await self.run_admitted(lambda context: self._complete(context, kind))

    async def _complete(self, context: RequestContext, kind: str) -> None:
        caller = context.caller
        limit = caller.max_output_tokens
        resolve_model = self.router.configuration.resolve_model
        chat = kind != "completions"
        request = parse_completion(self.request.body, chat, limit, resolve_model)
        check_model(self.router, caller, request.model)
        await self.router.completions.run(context, request, self.sink)


class ServiceHandler(AdmittedHandler):
    """Calls with any method to ``/services/NAME/PATH``."""

    async def _serve(self, service: str, path: str) -> None:
        await self.run_admitted(lambda context: self._call(context, service, path))

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
            path=self._get_upstream_path(),
            content_type=content_type,
            body=self.request.body,
            price=settings.price_tokens,
            repeatable=settings.is_repeatable(method, f"/{path}"),
        )
        await self.router.calls.run(context, call, self.sink)

    def may_have_run(self, context: RequestContext | None, error: RequestError) -> bool:
        """Return whether an earlier submission of a non-repeatable call may have run.

        An idempotency key identifies the call on every router, so "not run" in a
        response applies to all submissions under the key.
        """
        if error.kind not in TRANSIENT_REFUSALS or self._is_keyless_or_repeatable():
            return False
        if context is None:
            return True
        return self.router.calls.may_have_run(context, error)

    def _is_keyless_or_repeatable(self) -> bool:
        """Return whether the call has no idempotency key or is repeatable."""
        if not self.request.headers.get("Idempotency-Key"):
            return True
        # The unescaped ones, as for the call itself.
        name, path = self.path_args
        service = self.router.configuration.services().get(name)
        method = self.request.method or "GET"
        return service is not None and service.is_repeatable(method, f"/{path}")

    def _get_upstream_path(self) -> str:
        """Return path and query for the server, with the caller's own escapes."""
        path = "/" + self.request.path.split("/", 3)[3]
        query = f"?{self.request.query}" if self.request.query else ""
        return quote(path + query, safe=UNESCAPED_CHARACTERS)


class ModelsHandler(BaseHandler):
    """``GET /v1/models``: the models that a caller may use."""

    def get(self) -> None:
        """List the models that the caller may use."""
        try:
            caller = self.router.admission.authenticate(self.request.headers)
        except RequestError as error:
            self.send_request_error(error)
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
    """``GET /v1/routers``: the routers that a customer's callers should use."""

    def get(self) -> None:
        """Send the addresses of routers, best first."""
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
        """Send offsets, readiness and the number of requests in flight."""
        self.send_json(describe_router(self.router))


class HealthHandler(BaseHandler):
    """``GET /healthz``: the process is alive."""

    def get(self) -> None:
        """Send status 200."""
        self.send_json({"status": "ok"})


class ReadyHandler(BaseHandler):
    """``GET /readyz``: the router accepts requests."""

    def get(self) -> None:
        """Send status 200 if the router is ready, else 503 with the reason."""
        fault = self.router.find_fault()
        if fault is None:
            self.send_json({"status": "ready"})
        else:
            self.send_json({"status": fault.value}, 503)


class UnknownPathHandler(BaseHandler):
    """Requests for any other path."""

    def prepare(self) -> None:
        """Send status 404 with an error body."""
        self.set_header("Ran", Ran.NO.value)
        self.send_json(
            describe_error(RequestError(ErrorKind.INVALID_REQUEST, "no such path")), 404
        )


def check_model(
    router: "RouterApplication", caller: CallerSettings, model: str
) -> None:
    """Raise ``RequestError`` for a model that is unknown or not allowed."""
    if model not in router.list_models():
        raise RequestError(ErrorKind.UNKNOWN_MODEL, model[:80])
    if caller.models and model not in caller.models:
        raise RequestError(ErrorKind.FORBIDDEN, f"model {model[:80]}")


def check_call(path: str, content_type: str) -> None:
    """Raise ``RequestError`` for a call that a server may read differently.

    ``path`` is unescaped. The router matches it against the list of non-repeatable
    calls. If the HTTP client or the server normalized the path after that, such a
    call could pass as a repeatable one.
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
