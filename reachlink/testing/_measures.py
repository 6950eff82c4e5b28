"""Measures from the caller's side; see ``docs/measures.md`` for definitions and units."""

from collections.abc import Sequence

import msgspec


class Targets(msgspec.Struct, kw_only=True):
    """What callers are promised, in seconds."""

    first_token_s: float = 1.5
    gap_s: float = 0.1


class AnswerRecord(msgspec.Struct, kw_only=True):
    """One request as its caller saw it.

    Times are seconds after the moment at which the request was due, whether
    or not the load tool was late.
    """

    index: int
    workspace: str
    due_s: float
    status: int = 0
    outcome: str = ""
    retry_after_s: float | None = None
    refused_after_s: float = 0.0
    first_token_s: float | None = None
    end_s: float = 0.0
    tokens: int = 0
    done: bool = False
    stall_s: float = 0.0
    late_send_s: float = 0.0
    gaps_ms: list[float] = []


class Summary(msgspec.Struct, kw_only=True):
    """Measures over the answers of one run."""

    requests: int
    whole: int
    refused: int
    failed: int
    tokens: int
    goodput_per_s: float
    stall_s_per_answer: float
    stall_s_per_1000_tokens: float
    first_token_p50_s: float
    first_token_p99_s: float
    gap_p95_ms: float
    gap_p99_ms: float
    gap_p999_ms: float
    fairness: float
    retry_after_median_s: float
    late_send_p99_s: float


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(records: Sequence[AnswerRecord], targets: Targets, duration_s: float) -> Summary:
    """Return the measures of one run.

    Parameters
    ----------
    records : sequence of AnswerRecord
        Every request that was due in the measured span.
    targets : Targets
        What an answer must meet to count as good.
    duration_s : float
        Length of the measured span.
    """
    whole = [r for r in records if r.done]
    refused = [r for r in records if r.outcome == "not_run"]
    first = [r.first_token_s for r in whole if r.first_token_s is not None]
    gaps = [gap for r in whole for gap in r.gaps_ms]
    tokens = sum(r.tokens for r in whole)
    good = [r for r in whole if _is_good(r, targets)]
    stall = sum(r.stall_s for r in whole)
    return Summary(
        requests=len(records),
        whole=len(whole),
        refused=len(refused),
        failed=len(records) - len(whole) - len(refused),
        tokens=tokens,
        goodput_per_s=len(good) / duration_s,
        stall_s_per_answer=stall / max(1, len(whole)),
        stall_s_per_1000_tokens=1000 * stall / max(1, tokens),
        first_token_p50_s=percentile(first, 0.5),
        first_token_p99_s=percentile(first, 0.99),
        gap_p95_ms=percentile(gaps, 0.95),
        gap_p99_ms=percentile(gaps, 0.99),
        gap_p999_ms=percentile(gaps, 0.999),
        fairness=_fairness(records),
        retry_after_median_s=percentile(
            [r.retry_after_s for r in refused if r.retry_after_s is not None], 0.5
        ),
        late_send_p99_s=percentile([r.late_send_s for r in records], 0.99),
    )


def _is_good(record: AnswerRecord, targets: Targets) -> bool:
    """A good answer began in time and stalled for less than a tenth of its length."""
    if record.first_token_s is None or record.first_token_s > targets.first_token_s:
        return False
    return record.stall_s <= 0.1 * max(record.end_s, targets.first_token_s)


def _fairness(records: Sequence[AnswerRecord]) -> float:
    """Return Jain's index of the share of whole answers over the workspaces."""
    sent: dict[str, int] = {}
    got: dict[str, int] = {}
    for record in records:
        sent[record.workspace] = sent.get(record.workspace, 0) + 1
        got[record.workspace] = got.get(record.workspace, 0) + int(record.done)
    shares = [got[name] / sent[name] for name in sent]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0
