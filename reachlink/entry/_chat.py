"""Generations for callers: new, streamed or whole, and resumed."""

import asyncio

from aiohttp import web

from reachlink.delivery import Outcome, Position
from reachlink.entry._admission import Admission
from reachlink.entry._answers import AnswerRun
from reachlink.entry._chat_models import (
    CHAT_PATH,
    TEXT_PATH,
    GenerationBody,
    parse_body,
    upstream_body,
    whole_answer,
)
from reachlink.entry._claims import ClaimedKey
from reachlink.entry._dispatcher import Ticket
from reachlink.entry._final_answers import is_broken_off, set_outcome
from reachlink.entry._http import (
    MAX_BODY_BYTES,
    REQUEST_HEADER,
    find_in_settings,
    read_json_body,
    require_workspace,
)
from reachlink.entry._jobs import AnswerJob
from reachlink.entry._node import EntryNode
from reachlink.entry._prompt_parts import prompt_parts
from reachlink.entry._sinks import BufferSink, StreamSink
from reachlink.entry._unforeseen import unforeseen_error
from reachlink.entry.exceptions import RequestError, stopping_error
from reachlink.kernel import json_response, steady_time
from reachlink.lengths import LengthKey
from reachlink.placement import MemoryProfile, PlacementRequest
from reachlink.settings import ServiceInfo, ServiceKind, ServicePolicy
from reachlink.upstreams import (
    GenerationRequest,
    PromptDigest,
    RequestFeatures,
    SendRecord,
    digest_prompt,
)

EVENT_ID_HEADER = "Last-Event-ID"
REPEATABLE_HEADER = "Reachlink-Repeatable"


class ChatHandlers:
    """Handlers of the OpenAI-compatible endpoints.

    Parameters
    ----------
    node : EntryNode
        The entry instance.
    """

    def __init__(self, node: EntryNode) -> None:
        self._node = node

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that these handlers serve."""
        return [
            web.post(CHAT_PATH, self.generate),
            web.post(TEXT_PATH, self.generate),
            web.get("/v1/models", self.models),
            web.get("/v1/generations/{id}", self.resume),
        ]

    async def models(self, request: web.Request) -> web.Response:
        """List the models."""
        await require_workspace(self._node, request)
        services = self._node.tree.services.values()
        data = [
            {"id": service.model, "object": "model", "owned_by": "reachlink"}
            for service in services
            if service.kind is ServiceKind.MODEL
        ]
        return json_response({"object": "list", "data": data})

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Stream the rest of an answer."""
        workspace = await require_workspace(self._node, request)
        position = self._node.positions.decode(request.match_info["id"])
        return await self._resume(request, workspace, position)

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Run a generation, or go on with one that the caller has lost."""
        node = self._node
        workspace = await require_workspace(node, request)
        last_event = request.headers.get(EVENT_ID_HEADER)
        if last_event:
            position = node.positions.decode(last_event)
            return await self._resume(request, workspace, position)
        set_outcome(request, lambda: Outcome.NOT_RUN)
        raw = await read_json_body(request, MAX_BODY_BYTES)
        body = parse_body(raw, request.path)
        service = await self._service_of(body.model)
        policy = node.tree.policy(service.name, workspace, node.zone)
        if len(raw) > policy.body_bytes:
            raise RequestError(
                413, "body_too_large", f"limit is {policy.body_bytes} bytes", param="body"
            )
        job = self._job(request, service, policy, workspace, raw, body)
        claim = ClaimedKey.from_request(node, request, job.repeatable, workspace, raw, policy)
        node.check_end(node.longest_s(job.ticket))
        with Admission(node, service.name, workspace, policy) as admission:
            if claim is not None:
                stored = await claim.claim()
                if stored is not None:
                    return stored
            return await self._run(request, job, admission, claim, body)

    async def _service_of(self, model: str) -> ServiceInfo:
        unknown = RequestError(
            404, "model_not_found", f"there is no model {model!r}", param="model"
        )
        return await find_in_settings(self._node, lambda: self._find_service(model), unknown)

    def _find_service(self, model: str) -> ServiceInfo | None:
        for service in self._node.tree.services.values():
            if service.kind is ServiceKind.MODEL and model in (service.model, *service.versions):
                return service
        return None

    def _job(
        self,
        request: web.Request,
        service: ServiceInfo,
        policy: ServicePolicy,
        workspace: str,
        raw: bytes,
        body: GenerationBody,
    ) -> AnswerJob:
        node = self._node
        digest = digest_prompt(body.prompt_text())
        if digest.tokens > policy.prompt_tokens:
            message = f"{digest.tokens} tokens, the limit is {policy.prompt_tokens}"
            raise RequestError(413, "prompt_too_long", message, param="messages")
        key = LengthKey(service.name, workspace)
        repeatable = is_repeatable(request, policy)
        max_tokens = body.longest()
        ticket = Ticket(
            key=key,
            request=PlacementRequest(
                profile=node.ledger.profile_of(key, digest.tokens, max_tokens),
                prompt_tokens=digest.tokens,
                expected_tokens=node.ledger.expected_tokens(key),
                link_cost_ms=policy.link_cost_ms,
                spill=policy.spill,
            ),
            blocks=digest.blocks,
            workspace=workspace,
            priority=policy.priority,
            weight=policy.weight,
            queue_length=policy.queue_length,
            service_queue_length=node.tree.policy(service.name, "", node.zone).queue_length,
            deadline=steady_time() + policy.queue_wait_s,
            version=body.model,
            max_tokens=max_tokens,
            only_whole_once=not (repeatable or body.stream),
        )
        return AnswerJob(
            request_id=request["request_id"],
            service=service,
            policy=policy,
            workspace=workspace,
            ticket=ticket,
            request=GenerationRequest(
                request["request_id"],
                request.path,
                upstream_body(raw, body.model, policy.priority),
                self._features(request, workspace, raw, body, digest),
                SendRecord(once=not repeatable),
            ),
            repeatable=repeatable,
            buffered=not body.stream,
        )

    def _features(
        self,
        request: web.Request,
        workspace: str,
        raw: bytes,
        body: GenerationBody,
        digest: PromptDigest,
    ) -> RequestFeatures:
        maker = self._node.fingerprinter
        fingerprint = maker.fingerprint(workspace, "POST", request.path, raw)
        return maker.features(fingerprint, body.model, prompt_parts(body, digest.blocks))

    async def _run(
        self,
        request: web.Request,
        job: AnswerJob,
        admission: Admission,
        claim: ClaimedKey | None,
        body: GenerationBody,
    ) -> web.StreamResponse:
        if body.stream:
            sink = StreamSink(request, job.request_id, self._node.positions)
            run = AnswerRun(self._node, job, sink)
            set_outcome(request, lambda: run.outcome)
            answer = await self._stream(request, run, sink, admission, claim, run.run())
            if run.delivery.finished:
                self._note_duration(job)
            return answer
        buffer = BufferSink(request["held"])
        run = AnswerRun(self._node, job, buffer)
        set_outcome(request, lambda: run.outcome)
        outcome = Outcome.UNKNOWN
        try:
            await run.run()
            outcome = Outcome.RAN
            self._note_duration(job)
        except RequestError as error:
            outcome = error.outcome
            raise
        except (asyncio.CancelledError, Exception):
            outcome = run.outcome
            self._node.spawn(run.abandon())
            raise
        finally:
            admission.tokens = run.delivery.next_offset
            self._count(job, outcome, run)
            if claim is not None:
                claim.complete_later(outcome, None)
        whole = whole_answer(job.request_id, body.model, request.path, buffer.events)
        return json_response(whole, headers={REQUEST_HEADER: job.request_id})

    def _note_duration(self, job: AnswerJob) -> None:
        self._node.durations.add(job.service.name, steady_time() - job.started_at)

    async def _stream(
        self,
        request: web.Request,
        run: AnswerRun,
        sink: StreamSink,
        admission: Admission,
        claim: ClaimedKey | None,
        work: object,
    ) -> web.StreamResponse:
        outcome = Outcome.UNKNOWN
        try:
            await work  # type: ignore[misc]
            outcome = Outcome.RAN
        except RequestError as error:
            outcome = error.outcome
            if sink.response is None:
                raise
            await sink.fail(error)
        except (asyncio.CancelledError, Exception) as error:
            outcome = run.outcome
            if is_broken_off(request) and sink.response is not None:
                # Not cancelled: its caller may go on with it at another instance.
                await sink.fail(stopping_error(Outcome.RAN))
                return sink.response
            self._node.spawn(run.abandon())
            if sink.response is None or sink.caller_is_gone:
                raise
            await sink.fail(unforeseen_error(self._node.log, run.job.request_id, error))
        finally:
            admission.tokens = run.delivery.next_offset
            self._count(run.job, outcome, run)
            if claim is not None:
                claim.complete_later(outcome, None)
        assert sink.response is not None
        return sink.response

    def _count(self, job: AnswerJob, outcome: Outcome, run: AnswerRun) -> None:
        metrics, delivery = self._node.metrics, run.delivery
        labels = {"service": job.service.name}
        metrics.requests.add(1, {**labels, "outcome": outcome.value})
        metrics.tokens.add(delivery.next_offset, labels)
        if delivery.repeats:
            metrics.repeats.add(delivery.repeats, labels)
        if delivery.foreign:
            metrics.foreign.add(delivery.foreign, labels)

    async def _resume(
        self, request: web.Request, workspace: str, position: Position
    ) -> web.StreamResponse:
        node = self._node
        if position.workspace != workspace:
            raise RequestError(403, "foreign_event_id", "the event id is another workspace's")
        service = node.tree.services.get(position.service)
        replica = node.directory.find(position.replica)
        if service is None or replica is None:
            raise RequestError(410, "answer_lost", "its upstream is gone", Outcome.RAN)
        policy = node.tree.policy(service.name, workspace, node.zone)
        job = self._resumed_job(service, policy, workspace, position)
        # With 503 the caller would take it for not run, and ask anew.
        set_outcome(request, lambda: Outcome.RAN)
        sink = StreamSink(request, position.request_id, node.positions)
        run = AnswerRun(node, job, sink)
        with Admission(node, service.name, workspace, policy, counted=False) as admission:
            work = run.resume(position, replica)
            return await self._stream(request, run, sink, admission, None, work)

    def _resumed_job(
        self, service: ServiceInfo, policy: ServicePolicy, workspace: str, position: Position
    ) -> AnswerJob:
        ticket = Ticket(
            key=LengthKey(service.name, workspace),
            request=PlacementRequest(MemoryProfile(), 0, 0.0),
            blocks=(),
            workspace=workspace,
            priority=policy.priority,
            weight=policy.weight,
            queue_length=0,
            service_queue_length=0,
            deadline=0.0,
        )
        return AnswerJob(
            request_id=position.request_id,
            service=service,
            policy=policy,
            workspace=workspace,
            ticket=ticket,
            request=GenerationRequest(position.request_id, "", b""),
            repeatable=False,
            buffered=False,
        )


def is_repeatable(request: web.Request, policy: ServicePolicy) -> bool:
    """Return whether a request may run more than once.

    Raises
    ------
    RequestError
        If the header has another value than ``yes`` or ``no``.
    """
    said = request.headers.get(REPEATABLE_HEADER, "").lower()
    if said not in ("", "yes", "no"):
        raise RequestError(400, "invalid_header", "use yes or no", param=REPEATABLE_HEADER)
    # A caller can forbid repetition, but not allow what the settings forbid.
    return policy.repeatable and said != "no"
