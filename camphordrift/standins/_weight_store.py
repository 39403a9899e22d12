"""The stand-in weight store, which limits the rate of downloads."""

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route


class StandinWeightStore:
    """Counts the downloads of model weights and limits their rate.

    ``clock`` returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float], downloads_per_second: float) -> None:
        if downloads_per_second <= 0:
            raise ValueError(f"downloads_per_second must be positive, not {downloads_per_second}")
        self._clock = clock
        self._downloads_per_second = downloads_per_second
        self._next_free_at = 0.0
        self._downloads = 0
        self._refusal_count = 0

    @property
    def downloads(self) -> int:
        """Number of downloads that were started."""
        return self._downloads

    @property
    def refusal_count(self) -> int:
        """Number of downloads that were refused because of the rate limit."""
        return self._refusal_count

    def try_download(self) -> bool:
        """Starts a download if the rate limit allows it; returns whether it was started."""
        now = self._clock()
        if now < self._next_free_at:
            self._refusal_count += 1
            return False
        self._next_free_at = now + 1.0 / self._downloads_per_second
        self._downloads += 1
        return True


def weight_store_app(store: StandinWeightStore) -> Starlette:
    """Returns the HTTP application of the stand-in weight store."""

    async def download(request: Request) -> Response:
        if not store.try_download():
            return JSONResponse({"error": "the rate of downloads is exceeded"}, status_code=429)
        return JSONResponse({"weights": request.path_params["name"]})

    return Starlette(routes=[Route("/weights/{name:path}", download, methods=["GET"])])
