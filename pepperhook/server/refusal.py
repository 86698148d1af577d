"""The error of a message that is not accepted as a request."""

from pepperhook.errors import PepperhookError


class RequestRefusedError(PepperhookError):
    """A message was not accepted as a request; has the status, text and headers of the response."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        """Describe the response to the client."""
        super().__init__(text)
        self.status = int(status)
        self.headers = headers
