"""Token buckets that limit retries and hedges to a share of the requests."""

import threading

import attrs


@attrs.define(eq=False)
class Budget:
    """Token bucket for attempts after the first.

    Attributes:
      ratio: Tokens added by each first attempt, in [0, 1].
      burst: Capacity of the bucket. It starts full, so that a few retries are
        possible when there is little traffic.
      tokens: Tokens left.
    """

    ratio: float = attrs.field(
        validator=[attrs.validators.ge(0), attrs.validators.le(1)]
    )
    burst: float = attrs.field(validator=attrs.validators.ge(0))
    tokens: float = attrs.field(init=False)
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    @tokens.default
    def _initial_tokens(self):
        return self.burst


def deposit(budget: Budget) -> None:
    """Adds the tokens of one first attempt."""
    with budget.lock:
        budget.tokens = min(budget.burst, budget.tokens + budget.ratio)


def withdraw(budget: Budget) -> bool:
    """Takes a token for a further attempt; returns False if none is left."""
    with budget.lock:
        if budget.tokens < 1:
            return False
        budget.tokens -= 1
        return True
