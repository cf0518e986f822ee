"""Budgets that bound retries and hedges to a share of the requests."""

import threading

import attrs


@attrs.define(eq=False)
class Budget:
    """Tokens for extra tries.

    Attributes:
      ratio: Tokens that each first try adds, in [0, 1].
      burst: Most tokens that are kept, and the tokens at the start, so that a
        few retries are possible when there is little traffic.
      tokens: Tokens left.
    """

    ratio: float = attrs.field(
        validator=[attrs.validators.ge(0), attrs.validators.le(1)]
    )
    burst: float = attrs.field(validator=attrs.validators.ge(0))
    tokens: float = attrs.field(init=False)
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    @tokens.default
    def _full(self):
        return self.burst


def deposit(budget: Budget) -> None:
    """Counts a first try."""
    with budget.lock:
        budget.tokens = min(budget.burst, budget.tokens + budget.ratio)


def withdraw(budget: Budget) -> bool:
    """Takes a token for an extra try; returns False when there is none."""
    with budget.lock:
        if budget.tokens < 1:
            return False
        budget.tokens -= 1
        return True
