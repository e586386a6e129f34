"""Maps the method and path of a request to a handler function."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseferry_core.errors import ErrorKind
from primroseferry_core.errors import ProblemError
from primroseferry_core.errors import problem_error
from primroseferry_core.events import Event
from primroseferry_core.logs import log_event
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map
from werkzeug.routing import Rule

from .serving import problem_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from werkzeug.wrappers import Response

    from .serving import Exchange

    Handler = Callable[..., Response | None]


class Router:
    """Calls the handler of a request and turns exceptions into problem responses.

    >>> router = Router()
    >>> router.add("GET", "/healthz", lambda exchange: None)
    """

    def __init__(self) -> None:
        self._map = Map(strict_slashes=False, merge_slashes=False)

    def add(self, method: str, rule: str, handler: Handler) -> None:
        """Route ``method`` on ``rule`` (werkzeug's syntax) to ``handler(exchange, **values)``.

        ``*`` stands for GET, POST, PUT, PATCH and DELETE.
        """
        methods = ["GET", "POST", "PUT", "PATCH", "DELETE"] if method == "*" else [method]
        self._map.add(Rule(rule, methods=methods, endpoint=handler))

    def handle(self, exchange: Exchange) -> Response | None:
        """Return the response to one request, or ``None`` where the handler has sent it."""
        request = exchange.request
        try:
            handler, values = self._map.bind_to_environ(request.environ).match()
        except HTTPException:
            detail = f"nothing answers {request.method} {request.path[:200]}"
            return problem_response(problem_error(ErrorKind.UNKNOWN_PATH, detail).problem)
        try:
            answer: Response | None = handler(exchange, **values)
        except ProblemError as error:
            return problem_response(error.problem)
        except Exception as error:
            log_event(Event.REQUEST_CRASHED, path=request.path[:200], error=type(error).__name__)
            detail = "the request could not be handled; see the log"
            return problem_response(problem_error(ErrorKind.INTERNAL, detail).problem)
        return answer
