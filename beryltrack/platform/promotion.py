"""The service that carries out promotions, as the platform offers it."""

from returns.result import Result, Success

from beryltrack.objects.http import HttpClient, make_failure
from beryltrack.objects.messages import ErrorKind, PlatformError

HOLDER_HEADER = "Beryltrack-Duty-Holder"
TOKEN_HEADER = "Beryltrack-Fencing-Token"
CONFLICT = 409


class PromotionClient:
    """Calls the promotion service.

    Parameters
    ----------
    http : HttpClient
        Carries the calls.
    holder : str
        Name of this instance.
    """

    def __init__(self, http: HttpClient, holder: str):
        self._http = http
        self._holder = holder

    async def promote(
        self, group: str, database: str, token: int
    ) -> Result[None, PlatformError]:
        """Have a database lead its group's next term, some time after the answer.

        A failure of kind `CONFLICT` says that a higher token was seen, or that
        the database does not run; `REFUSED` that nothing was done.
        """
        headers = {HOLDER_HEADER: self._holder, TOKEN_HEADER: str(token)}
        body = {"service": group, "id": database}
        result = await self._http.send_once("POST", "/promotion", body, headers=headers)
        if not isinstance(result, Success):
            return result
        code = result.unwrap().code
        if code == CONFLICT:
            return make_failure(ErrorKind.CONFLICT, "the promotion was refused")
        if code >= 400:
            return make_failure(ErrorKind.INVALID, f"the platform answered {code}")
        return Success(None)
