"""A minimal HTTP proxy, the baseline for the cost of the router.

It forwards each request to one engine with tornado and curl, streams the response
chunk by chunk, and does nothing else.
"""

import asyncio
from dataclasses import dataclass
from typing import Annotated

import cappa
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.web import Application, RequestHandler

MAX_CLIENTS = 1000


class ForwardHandler(RequestHandler):
    """Forwards a request to the engine."""

    def initialize(self, target: str, client: CurlAsyncHTTPClient) -> None:
        """Store the engine's address and the shared HTTP client."""
        self.target = target
        self.client = client

    async def post(self) -> None:
        """Send the body to the engine and stream its response back."""
        self.request.connection.stream.set_nodelay(True)  # type: ignore[union-attr]
        request = HTTPRequest(
            f"http://{self.target}{self.request.path}",
            method="POST",
            body=self.request.body,
            headers={"Content-Type": "application/json"},
            streaming_callback=self._forward,
            request_timeout=600,
        )
        await self.client.fetch(request, raise_error=False)

    def _forward(self, chunk: bytes) -> None:
        self.write(chunk)
        self.flush()


@cappa.command(name="standin-passthrough")
@dataclass
class PassthroughCommand:
    """Forward requests to one engine, as a baseline."""

    target: Annotated[str, cappa.Arg(long=True)]
    port: Annotated[int, cappa.Arg(long=True)]
    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"

    def __call__(self) -> None:
        """Serve until the process is killed."""
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
        arguments = {"target": self.target, "client": client}
        application = Application(
            [(r"/.*", ForwardHandler, arguments)], log_function=lambda handler: None
        )
        application.listen(self.port, self.address)
        await asyncio.Event().wait()


def main() -> None:
    """Run the command line."""
    cappa.invoke(PassthroughCommand)


if __name__ == "__main__":
    main()
