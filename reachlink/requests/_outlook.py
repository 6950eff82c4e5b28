"""How far a generation has come, and what would be lost with it; pure."""

from dataclasses import dataclass

# Work to make one token of output again, in tokens of prompt that could be read
# in the same time.
OUTPUT_WEIGHT = 10
# Factor by which a generation in another zone is more at risk: it is lost with
# its replica or with the connection between the zones.
FAR_RISK = 2
# Remaining output from which on a generation is at full risk, in tokens: about
# as many as are made between two notices.
RISK_TOKENS = 330
# Output still expected once the expected length is reached or nearly so, as a
# share of what has been made.
MORE_SHARE = 0.25


@dataclass(slots=True, frozen=True)
class Outlook:
    """Sizes of one generation at one moment.

    Attributes
    ----------
    prompt_tokens : int
        Size of the prompt, in tokens.
    expected_tokens : int
        Expected length of the whole output, in tokens; 0 where unknown, which
        counts as `max_tokens`.
    max_tokens : int
        Longest output that was asked for, in tokens.
    last_event : int
        Number of the last event that was passed on, counted from 1; -1 before the
        first. Each carries output.
    tokens_per_event : int
        Output that one event carries, in tokens; 0 where it is not a generation.

    Examples
    --------
    >>> outlook = Outlook(3000, 400, max_tokens=1000, last_event=25, tokens_per_event=4)
    >>> outlook.made_tokens, outlook.used_tokens, outlook.remaining_tokens
    (100, 3100, 300)
    >>> outlook.stake(near=True), outlook.stake(near=False)
    (6363, 12727)
    """

    prompt_tokens: int
    expected_tokens: int
    max_tokens: int
    last_event: int
    tokens_per_event: int

    @property
    def made_tokens(self) -> int:
        """Output that has been made, in tokens."""
        return max(0, self.last_event) * self.tokens_per_event

    @property
    def used_tokens(self) -> int:
        """Memory that the generation takes now, in tokens."""
        return self.prompt_tokens + self.made_tokens

    @property
    def longest_remaining_tokens(self) -> int:
        """Output that may come yet at the most, in tokens."""
        return max(0, self.max_tokens - self.made_tokens)

    @property
    def remaining_tokens(self) -> int:
        """Output that is expected to come yet, in tokens."""
        made = self.made_tokens
        expected = self.expected_tokens or self.max_tokens
        return min(self.longest_remaining_tokens, max(expected - made, round(made * MORE_SHARE)))

    @property
    def end_tokens(self) -> int:
        """Memory that the generation is expected to take at its end, in tokens."""
        return self.used_tokens + self.remaining_tokens

    def stake(self, near: bool) -> int:
        """Return what is at stake: the work lost with the generation, by its risk.

        Parameters
        ----------
        near : bool
            Whether the generation runs in this instance's zone.

        Returns
        -------
        int
            Work in tokens of prompt, weighted by the risk; only compared.
        """
        remaining = self.remaining_tokens
        work = self.prompt_tokens + OUTPUT_WEIGHT * (self.made_tokens + remaining)
        risk = 1 if near else FAR_RISK
        return risk * work * min(remaining, RISK_TOKENS) // RISK_TOKENS
