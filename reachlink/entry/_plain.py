"""Calls of plain services."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from reachlink.control import StoredAnswer
from reachlink.delivery import Outcome
from reachlink.entry._admission import Admission
from reachlink.entry._chat import is_repeatable
from reachlink.entry._claims import ClaimedKey
from reachlink.entry._dispatcher import no_replica, replicas_held_back
from reachlink.entry._final_answers import is_broken_off, set_outcome
from reachlink.entry._http import (
    MAX_BODY_BYTES,
    REQUEST_HEADER,
    find_in_settings,
    read_body,
    require_workspace,
)
from reachlink.entry._node import EntryNode
from reachlink.entry.exceptions import (
    RequestError,
    after_dispatch,
    held_request,
    upstream_failed,
)
from reachlink.kernel import steady_time
from reachlink.lengths import LengthKey
from reachlink.limits import backoff_s
from reachlink.membership import LeavingSource
from reachlink.placement import allowances
from reachlink.quarantine import BrokenRun, HeldRequestError
from reachlink.settings import ServiceInfo, ServiceKind, ServicePolicy
from reachlink.upstreams import (
    CallRequest,
    CallResponse,
    LoggedSend,
    Replica,
    RequestFeatures,
    SendRecord,
    ServiceAdapter,
    UnconfirmedRefusalError,
    UpstreamBrokenError,
    UpstreamHeldBackError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)

MAX_ATTEMPTS = 4
# How often a call that waits for a replica that is held back looks again, in seconds.
HELD_LOOK_S = 0.05
CALL_TIMEOUT_S = 30.0
RECORD_TIMEOUT_S = 1.0
_FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language", "Idempotency-Key")


@dataclass(slots=True)
class _Attempts:
    """What is known of the attempts of one call so far."""

    may_have_run: bool = False

    @property
    def outcome(self) -> Outcome:
        """None of them ran, or one may have."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


class PlainHandlers:
    """Handlers of everything under the paths of plain services.

    Parameters
    ----------
    node : EntryNode
        The entry instance.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that these handlers serve."""
        return [web.route("*", "/{path:.*}", self.call)]

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Pass a call on and give its answer back."""
        node = self._node
        service = await self._service_of(request.path)
        workspace = await require_workspace(node, request)
        policy = node.tree.policy(service.name, workspace, node.zone)
        set_outcome(request, lambda: Outcome.NOT_RUN)
        body = await read_body(request, min(MAX_BODY_BYTES, policy.body_bytes))
        repeatable = is_repeatable(request, policy)
        claim = ClaimedKey.from_request(node, request, repeatable, workspace, body, policy)
        node.check_end(self._longest_s(service, repeatable))
        with Admission(node, service.name, workspace, policy):
            if claim is not None:
                stored = await claim.claim()
                if stored is not None:
                    return stored
            answer = await self._call(request, service, policy, repeatable, body, claim, workspace)
        return web.Response(
            body=answer.body,
            status=answer.status,
            headers={"Content-Type": answer.content_type, REQUEST_HEADER: request["request_id"]},
        )

    def _longest_s(self, service: ServiceInfo, repeatable: bool) -> float:
        """Return how long a call may take, in seconds."""
        known_s = self._node.durations.longest_s(service.name)
        # One that may run once is not begun on an estimate.
        return min(known_s, CALL_TIMEOUT_S) if repeatable else CALL_TIMEOUT_S

    async def _service_of(self, path: str) -> ServiceInfo:
        unknown = RequestError(404, "not_found", f"nothing is served at {path}")
        return await find_in_settings(self._node, lambda: self._find_service(path), unknown)

    def _find_service(self, path: str) -> ServiceInfo | None:
        for service in self._node.tree.services.values():
            under = path == service.path or path.startswith(f"{service.path}/")
            if service.kind is ServiceKind.PLAIN and under:
                return service
        return None

    async def _call(
        self,
        request: web.Request,
        service: ServiceInfo,
        policy: ServicePolicy,
        repeatable: bool,
        body: bytes,
        claim: ClaimedKey | None,
        workspace: str,
    ) -> CallResponse:
        headers = {n: request.headers[n] for n in _FORWARDED_HEADERS if n in request.headers}
        # Just as it was sent, unless it names a host as well.
        target = request.raw_path if request.raw_path.startswith("/") else request.path_qs
        fingerprint = self._node.fingerprinter.fingerprint(workspace, request.method, target, body)
        features = RequestFeatures(fingerprint)
        call = CallRequest(
            request["request_id"],
            request.method,
            target,
            headers,
            body,
            features,
            SendRecord(once=not repeatable),
        )
        attempts = _Attempts()
        began_at = steady_time()
        set_outcome(request, lambda: attempts.outcome)
        outcome = Outcome.UNKNOWN
        answer: CallResponse | None = None
        try:
            answer = await self._attempts(service, policy, repeatable, call, attempts)
            outcome = Outcome.RAN
            self._node.durations.add(service.name, steady_time() - began_at)
            return answer
        except RequestError as error:
            outcome = error.outcome
            raise
        except (asyncio.CancelledError, Exception):
            outcome = attempts.outcome
            raise
        finally:
            labels = {"service": service.name, "outcome": outcome.value}
            self._node.metrics.requests.add(1, labels)
            if claim is not None:
                await self._record(claim, outcome, answer, is_broken_off(request))

    async def _record(
        self, claim: ClaimedKey, outcome: Outcome, answer: CallResponse | None, at_once: bool
    ) -> None:
        """Store the answer; a slow quorum does not hold the caller up for long, or `at_once`."""
        stored = StoredAnswer(answer.status, answer.content_type, answer.body) if answer else None
        task = asyncio.ensure_future(claim.complete(outcome, stored, CALL_TIMEOUT_S))
        self._node.tasks.add(task)
        task.add_done_callback(self._node.tasks.discard)
        if not at_once:
            await asyncio.wait({task}, timeout=RECORD_TIMEOUT_S)

    async def _attempts(
        self,
        service: ServiceInfo,
        policy: ServicePolicy,
        repeatable: bool,
        call: CallRequest,
        attempts: _Attempts,
    ) -> CallResponse:
        node = self._node
        excluded: set[str] = set()
        budget = node.budget(service.upstream)
        budget.on_first_attempt(policy.retry_share)
        reason = "every replica is held back"
        wait_until = steady_time() + policy.queue_wait_s
        attempt = 1
        while attempt <= MAX_ATTEMPTS:
            try:
                replica = await self._choose_in_time(service, excluded, wait_until, repeatable)
            except RequestError as error:
                if not attempts.may_have_run:
                    raise
                raise after_dispatch(error) from error
            earlier, attempts.may_have_run = attempts.may_have_run, True
            try:
                sent_at = steady_time()
                with LoggedSend(
                    node.log, call.request_id, replica.name, call.record, repeatable
                ) as send:
                    answer = await self._attempt(service, replica, call)
                    send.note_answer(answer.status)
                if 200 <= answer.status < 300:
                    node.guard.on_answer(call.features, sent_at)
                return answer
            except HeldRequestError as error:
                raise held_request(error, sent=True) from error
            except UpstreamHeldBackError as error:
                # It asked for that after it was chosen, or others had the permit: nothing was sent.
                attempts.may_have_run = earlier
                reason = str(error)
                continue
            except UpstreamBrokenError as error:
                reason = str(error)
                if not repeatable:
                    raise RequestError(502, "upstream_broken", reason, Outcome.UNKNOWN) from error
            except (UpstreamUnreachableError, UpstreamRefusedError) as error:
                attempts.may_have_run = earlier
                reason = str(error)
            excluded.add(replica.name)
            if not budget.take():
                break
            node.metrics.retries.add(1, {"service": service.name})
            await asyncio.sleep(backoff_s(attempt, node.random))
            attempt += 1
        raise upstream_failed(reason, attempts.outcome, node.hold(service.upstream, excluded))

    async def _attempt(
        self, service: ServiceInfo, replica: Replica, call: CallRequest
    ) -> CallResponse:
        node = self._node
        adapter: ServiceAdapter = node.adapter(service.adapter)
        health = node.ledger.replica(replica.name).health
        flight = node.ledger.place(LengthKey(service.name), replica.name, 0)
        sent_at = steady_time()
        try:
            await node.guard.admit(call.features, call.request_id)
            async with (
                node.guard.watched(call.features),
                asyncio.timeout(CALL_TIMEOUT_S),
            ):
                node.client.pacing.note_sent(replica.address, steady_time())
                answer = await adapter.call(replica, call)
            health.on_success(steady_time())
            return answer
        except UpstreamRefusedError as error:
            self._note_leaving(replica, error.leaving)
            raise
        except UnconfirmedRefusalError as error:
            self._note_leaving(replica, error.leaving)
            health.on_failure(steady_time(), node.random)
            raise
        except TimeoutError as error:
            health.on_failure(steady_time(), node.random)
            raise UpstreamBrokenError("no answer in time") from error
        except UpstreamUnreachableError:
            health.on_failure(steady_time(), node.random)
            raise
        except UpstreamBrokenError:
            now = steady_time()
            health.on_failure(now, node.random)
            node.guard.on_broken(BrokenRun(call.request_id, call.features, replica, sent_at, now))
            raise
        finally:
            node.ledger.finish(flight, ended=False)

    def _note_leaving(self, replica: Replica, leaving: bool) -> None:
        """Record that a replica says with a refusal that it is leaving."""
        if leaving:
            self._node.directory.mark_leaving(replica.name, LeavingSource.REFUSAL, steady_time())

    async def _choose_in_time(
        self, service: ServiceInfo, excluded: set[str], until: float, repeatable: bool
    ) -> Replica:
        """Return the replica for a call, after a wait where all are held back.

        Raises
        ------
        RequestError
            If there is none, or all are held back until after `until`, in monotonic seconds.
        """
        node = self._node
        while True:
            admitted = [r for r in node.admitted(service.upstream) if r.name not in excluded]
            hold = node.hold(service.upstream, excluded)
            if admitted or hold is None:
                return self._choose(admitted)
            self._node.check_end(self._longest_s(service, repeatable))
            if steady_time() + hold.remaining_s >= until:
                raise replicas_held_back(hold)
            await asyncio.sleep(HELD_LOOK_S)

    def _choose(self, live: list[Replica]) -> Replica:
        """Return the live replica with the fewest calls from here, this zone's first."""
        node = self._node
        healths = {r.name: node.ledger.replica(r.name).health for r in live}
        allowed = allowances(healths, steady_time())
        usable = [r for r in live if allowed[r.name] > 0.0]
        if not usable:
            raise no_replica()
        return min(
            usable,
            key=lambda r: (
                len(node.ledger.replica(r.name).in_flight),
                r.availability_zone != node.zone,
                node.random.random(),
            ),
        )
