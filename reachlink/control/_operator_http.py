"""The operators' HTTP interface, the same at entry and control instances."""

import time
import uuid
from collections.abc import Awaitable, Callable, Collection
from functools import wraps
from typing import Any

import msgspec
from aiohttp import web

from reachlink.control._client import ControlClient
from reachlink.control._commands import (
    Command,
    EditCommand,
    EditResult,
    EditStatus,
    NoteCommand,
    Result,
)
from reachlink.control._freshness import RequestFreshness
from reachlink.control._operator_bodies import RETRY_S, read_operator_body
from reachlink.control._protocol import (
    AuditAnswer,
    AuditRequest,
    MembersAnswer,
    MembersRequest,
    QuarantineAnswer,
    QuarantineRequest,
    ReleaseAnswer,
    ReleaseRequest,
    Request,
    StatusAnswer,
    StatusRequest,
)
from reachlink.control._zone_orders import Issuer, ZoneOrders
from reachlink.control.exceptions import (
    ControlUnavailableError,
    OperatorError,
    OutcomeUnknownError,
    OutdatedRequestError,
    UnknownZoneError,
)
from reachlink.kernel import bearer_key, json_response
from reachlink.messaging import MessagingError
from reachlink.quarantine import fingerprint_of
from reachlink.settings import Change, SettingsTree, UnknownPathError, hash_key, to_document

EDIT_TIMEOUT_S = 8.0
STATUS_TIMEOUT_S = 1.0
MAX_AUDIT = 1000
MAX_EDIT_BYTES = 8 << 20

_Handler = Callable[..., Awaitable[web.StreamResponse]]


class EditBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``PATCH /v1/settings``.

    ``base_revision`` may be given by ``If-Match`` instead.
    """

    changes: list[Change]
    edit_id: str = ""
    base_revision: int | None = None


class MembersBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/members``."""

    action: str
    node_id: str
    address: str = ""
    availability_zone: str = ""


class ZoneBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/zones/ZONE``."""

    out_of_service: bool
    reason: str = ""


def _answering(handler: _Handler) -> _Handler:
    """Turn this layer's errors into responses."""

    @wraps(handler)
    async def wrapped(self: Any, request: web.Request) -> web.StreamResponse:
        try:
            return await handler(self, request)
        except OperatorError as error:
            return _error(error)
        except UnknownPathError as error:
            return _error(OperatorError(400, "unknown_path", str(error)))
        except msgspec.DecodeError as error:
            return _error(OperatorError(400, "invalid_body", str(error)))
        except OutdatedRequestError as error:
            return _error(OperatorError(503, "request_outdated", str(error)))
        except ControlUnavailableError as error:
            return _error(OperatorError(503, "control_unavailable", str(error)))
        except UnknownZoneError as error:
            return _error(OperatorError(404, "unknown_zone", str(error)))
        except OutcomeUnknownError as error:
            return _error(OperatorError(504, "outcome_unknown", str(error)))

    return wrapped


class OperatorHandlers:
    """Handlers of settings, audit trail, status and membership.

    Parameters
    ----------
    control : ControlClient
        For what the control instances decide.
    tree : callable
        Returns the settings in force at this instance.
    bootstrap_key_hash : str
        Hash of the key that acts as an operator until the settings name one.
    freshness : RequestFreshness
        Tells whether the sender of a request still waits.
    zones : collection of str
        The availability zones of the deployment; where empty, any name will do.
    settings_confirmed : callable, optional
        Returns whether these settings are the newest.
    """

    def __init__(
        self,
        control: ControlClient,
        tree: Callable[[], SettingsTree],
        bootstrap_key_hash: str,
        freshness: RequestFreshness,
        zones: Collection[str] = (),
        settings_confirmed: Callable[[], bool] = lambda: True,
    ) -> None:
        self._settings_confirmed = settings_confirmed
        self._control = control
        self._tree = tree
        self._bootstrap = bootstrap_key_hash
        self._freshness = freshness
        self._zones = ZoneOrders(self._propose, tree, zones)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that these handlers serve."""
        return [
            web.get("/v1/settings", self.show),
            web.patch("/v1/settings", self.edit),
            web.get("/v1/settings/explain", self.explain),
            web.get("/v1/audit", self.audit),
            web.get("/v1/status", self.status),
            web.post("/v1/members", self.members),
            web.get("/v1/zones", self.show_zones),
            web.post("/v1/zones/{zone}", self.order_zone),
            web.get("/v1/quarantine", self.show_quarantine),
            web.post("/v1/quarantine/{fingerprint}/release", self.release),
        ]

    def authorize(self, request: web.Request, write: bool) -> str:
        """Return the operator whose key a request carries.

        Raises
        ------
        OperatorError
            If the key is unknown or may not do this, or nobody confirms the settings that say so.
        """
        try:
            return self._operator_of(request, write)
        except OperatorError as error:
            if self._settings_confirmed():
                raise
            reason = f"{error.message}, and no control instance confirms the settings"
            raise OperatorError(503, "settings_unconfirmed", reason) from error

    def _operator_of(self, request: web.Request, write: bool) -> str:
        key = bearer_key(request)
        key_hash = hash_key(key) if key else ""
        operators = self._tree().operators
        if key_hash in operators:
            name, role = operators[key_hash]
            if write and role != "operator":
                raise OperatorError(403, "forbidden", f"{name} may only read")
            return name
        no_operator = all(role != "operator" for _, role in operators.values())
        if key_hash and key_hash == self._bootstrap and no_operator:
            return "bootstrap"
        raise OperatorError(401, "invalid_key", "the operator key is not known")

    @_answering
    async def show(self, request: web.Request) -> web.StreamResponse:
        """Return the settings in force here, nested or flat."""
        self.authorize(request, write=False)
        tree = self._tree()
        flat = request.query.get("form") == "flat"
        values = dict(tree.values) if flat else to_document(tree.values)
        body = {"revision": tree.revision, "settings": values}
        return json_response(body, headers={"ETag": f'"{tree.revision}"'})

    @_answering
    async def edit(self, request: web.Request) -> web.StreamResponse:
        """Have an edit accepted by quorum."""
        author = self.authorize(request, write=True)
        raw = await read_operator_body(request, MAX_EDIT_BYTES)
        await self._freshness.check(request)
        body = msgspec.json.decode(raw, type=EditBody)
        command = EditCommand(
            edit_id=body.edit_id or uuid.uuid4().hex,
            base_revision=_base_revision(request, body),
            changes=body.changes,
            author=author,
            source=request.remote or "",
            at=time.time(),
        )
        result = await self._control.propose(command, EDIT_TIMEOUT_S)
        assert isinstance(result, EditResult)
        return _edit_response(command.edit_id, result)

    @_answering
    async def explain(self, request: web.Request) -> web.StreamResponse:
        """Return what is in force at a path and where it comes from."""
        self.authorize(request, write=False)
        path = request.query.get("path", "")
        origin = self._tree().explain_path(path)
        return json_response({"path": path, "value": origin.value, "from": origin.path})

    @_answering
    async def audit(self, request: web.Request) -> web.StreamResponse:
        """Return part of the audit trail."""
        self.authorize(request, write=False)
        since = _number(request, "since", 0)
        limit = min(MAX_AUDIT, _number(request, "limit", 100))
        answer = await self._control.request(AuditRequest(since, limit), EDIT_TIMEOUT_S)
        assert isinstance(answer, AuditAnswer)
        return json_response({"records": answer.records})

    @_answering
    async def status(self, request: web.Request) -> web.StreamResponse:
        """Return what each control instance knows, and who lags."""
        self.authorize(request, write=False)
        controls: dict[str, object] = {}
        newest = self._tree().revision
        for address in self._control.addresses:
            controls[address] = answer = await self._status_of(address)
            if isinstance(answer, StatusAnswer):
                newest = max(newest, answer.revision)
        return json_response({"revision": newest, "controls": controls})

    @_answering
    async def members(self, request: web.Request) -> web.StreamResponse:
        """Add, promote or remove a replica of the log."""
        author = self.authorize(request, write=True)
        body = msgspec.json.decode(await read_operator_body(request), type=MembersBody)
        await self._freshness.check(request)
        change = MembersRequest(
            body.action,
            body.node_id,
            body.address,
            body.availability_zone,
            author,
            request.remote or "",
        )
        answer = await self._ask_once(change)
        assert isinstance(answer, MembersAnswer)
        return json_response({"members": answer.members})

    @_answering
    async def show_zones(self, request: web.Request) -> web.StreamResponse:
        """Return the last order about each availability zone that there was one about."""
        self.authorize(request, write=False)
        tree = self._tree()
        return json_response({"revision": tree.revision, "zones": tree.zone_orders})

    @_answering
    async def order_zone(self, request: web.Request) -> web.StreamResponse:
        """Take an availability zone out of service, or back."""
        author = self.authorize(request, write=True)
        zone = request.match_info["zone"]
        body = msgspec.json.decode(await read_operator_body(request), type=ZoneBody)
        unread_s = await self._freshness.check(request)
        issuer = Issuer(author, request.remote or "", body.reason)
        result = await self._zones.order(zone, body.out_of_service, issuer, unread_s)
        return json_response({"status": result.status.value, "revision": result.revision})

    @_answering
    async def show_quarantine(self, request: web.Request) -> web.StreamResponse:
        """Return the requests that are held since replicas crash under them."""
        self.authorize(request, write=False)
        answer = await self._control.request(QuarantineRequest(), STATUS_TIMEOUT_S)
        assert isinstance(answer, QuarantineAnswer)
        return json_response({"instance": answer.instance, "held": answer.held})

    @_answering
    async def release(self, request: web.Request) -> web.StreamResponse:
        """Let a held request go."""
        author = self.authorize(request, write=True)
        text = request.match_info["fingerprint"]
        try:
            fingerprint = fingerprint_of(text)
        except ValueError as error:
            raise OperatorError(400, "invalid_fingerprint", str(error)) from error
        await self._freshness.check(request)
        answer = await self._control.request(ReleaseRequest(fingerprint), EDIT_TIMEOUT_S)
        assert isinstance(answer, ReleaseAnswer)
        note = NoteCommand("release", author, request.remote or "", text, time.time())
        await self._control.propose(note, EDIT_TIMEOUT_S)
        return json_response({"fingerprint": text, "was_held": answer.was_held})

    async def _propose(self, command: Command) -> Result:
        return await self._control.propose(command, EDIT_TIMEOUT_S)

    async def _ask_once(self, change: Request) -> object:
        # A membership change is not repeated blindly: the operator looks first.
        return await self._control.request(change, EDIT_TIMEOUT_S)

    async def _status_of(self, address: str) -> object:
        try:
            return await self._control.ask(address, StatusRequest(), STATUS_TIMEOUT_S)
        except MessagingError as error:
            return {"unreachable": f"{type(error).__name__}: {error}"}


def _base_revision(request: web.Request, body: EditBody) -> int:
    if body.base_revision is not None:
        return body.base_revision
    tag = request.headers.get("If-Match", "").strip('"')
    if not tag.isdecimal():
        raise OperatorError(
            428, "base_revision_missing", "name base_revision, or send If-Match with the ETag"
        )
    return int(tag)


def _edit_response(edit_id: str, result: EditResult) -> web.Response:
    statuses = {EditStatus.ACCEPTED: 200, EditStatus.CONFLICT: 409, EditStatus.INVALID: 422}
    body = {
        "edit_id": edit_id,
        "status": result.status.value,
        "revision": result.revision,
        "problems": result.problems,
        "winner": result.winner,
    }
    return json_response(body, statuses[result.status], {"ETag": f'"{result.revision}"'})


def _number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise OperatorError(400, "invalid_query", f"{name} must be a whole number")
    return int(text)


def _error(error: OperatorError) -> web.Response:
    detail = {"code": error.code, "message": error.message, **error.details}
    response = json_response({"error": detail}, error.status)
    if error.code == "held_over_budget":
        response.headers["Retry-After"] = f"{RETRY_S:.3f}"
        # The rest of its body is not read.
        response.force_close()
    return response
