"""Client of the platform's promotion service."""

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
        Sends the calls.
    holder : str
        Name of this instance, which holds the fencing tokens.
    """

    def __init__(self, http: HttpClient, holder: str):
        self._http = http
        self._holder = holder

    async def promote(
        self, group: str, database: str, token: int
    ) -> Result[None, PlatformError]:
        """Make a database its group's next primary, some time after the answer.

        A failure of kind `CONFLICT` means that the service has seen a higher token or
        the database does not run; `REFUSED` means that nothing was done.
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
