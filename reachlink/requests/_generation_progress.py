"""Progress of a generation, and the work that is lost if the generation is lost.

This module does no input or output.
"""

from dataclasses import dataclass

# Work to generate one token of output again, in prompt tokens that can be processed in the
# same time.
OUTPUT_TOKEN_COST = 10
# Factor by which the risk of a generation in another zone is higher: it is lost with its
# replica or with the connection between the zones.
OTHER_ZONE_RISK_FACTOR = 2
# Remaining output above which a generation has the full risk, in tokens: about the output
# between two shutdown notices.
FULL_RISK_TOKENS = 330
# Output that is at least expected to follow, as a fraction of the output so far. It applies
# when the expected length is nearly or fully reached.
MIN_REMAINING_FRACTION = 0.25


@dataclass(slots=True, frozen=True)
class GenerationProgress:
    """Sizes of one generation at one moment.

    Attributes
    ----------
    prompt_tokens : int
        Size of the prompt, in tokens.
    expected_tokens : int
        Expected length of the whole output, in tokens. 0 if unknown; `max_tokens` is
        used then.
    max_tokens : int
        Maximum length of the output that the caller requested, in tokens.
    last_event : int
        Number of the last event that was forwarded, counted from 1; -1 before the first.
        Each event carries output.
    tokens_per_event : int
        Output that one event carries, in tokens; 0 if it is not a generation.

    Examples
    --------
    >>> progress = GenerationProgress(3000, 400, max_tokens=1000, last_event=25, tokens_per_event=4)
    >>> progress.output_tokens, progress.used_tokens, progress.remaining_tokens
    (100, 3100, 300)
    >>> progress.expected_loss(near=True), progress.expected_loss(near=False)
    (6363, 12727)
    """

    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    last_event: int
    tokens_per_event: int

    @property
    def output_tokens(self) -> int:
        """Output so far, in tokens."""
        return max(0, self.last_event) * self.tokens_per_event

    @property
    def used_tokens(self) -> int:
        """Memory that the generation takes now, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def max_remaining_tokens(self) -> int:
        """Maximum remaining output, in tokens."""
        return max(0, self.max_tokens - self.output_tokens)

    @property
    def remaining_tokens(self) -> int:
        """Expected remaining output, in tokens."""
        made = self.output_tokens
        expected = self.expected_tokens or self.max_tokens
        return min(
            self.max_remaining_tokens, max(expected - made, round(made * MIN_REMAINING_FRACTION))
        )

    @property
    def final_tokens(self) -> int:
        """Memory that the generation is expected to take when it ends, in tokens."""
        return self.used_tokens + self.remaining_tokens

    def expected_loss(self, near: bool) -> int:
        """Return the expected loss: the work to repeat the generation, weighted by risk.

        Parameters
        ----------
        near : bool
            Whether the generation runs in this instance's zone.

        Returns
        -------
        int
            Work in prompt tokens, weighted by risk. Only meaningful in comparisons.
        """
        remaining = self.remaining_tokens
        work = self.prompt_tokens + OUTPUT_TOKEN_COST * (self.output_tokens + remaining)
        risk = 1 if near else OTHER_ZONE_RISK_FACTOR
        return risk * work * min(remaining, FULL_RISK_TOKENS) // FULL_RISK_TOKENS
