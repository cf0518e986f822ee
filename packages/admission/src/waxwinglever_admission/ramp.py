"""The limit on requests in flight during a cold start."""


def limit_at(
    now_s: float, start_s: float, initial: int, slots: int, seconds: float
) -> int:
    """Returns the limit, which rises linearly from `initial` to `slots`.

    Args:
      now_s: Current time.
      start_s: When the cold start began.
      initial: Limit at the start, in requests.
      slots: Limit at the end, in requests.
      seconds: Length of the ramp; 0 for no ramp.
    """
    steps = slots - initial
    if steps <= 0 or now_s >= start_s + seconds:
        return slots
    if now_s <= start_s:
        return initial
    done = min(steps, int(steps * (now_s - start_s) / seconds))
    # Rounding may be off by one step. The limit must agree with next_step_s;
    # otherwise a thread that sleeps until the next step wakes too early.
    while (
        done < steps and step_time_s(done + 1, start_s, steps, seconds) <= now_s
    ):
        done += 1
    while done > 0 and step_time_s(done, start_s, steps, seconds) > now_s:
        done -= 1
    return initial + done


def next_step_s(
    now_s: float, start_s: float, initial: int, slots: int, seconds: float
) -> float | None:
    """Returns when the limit rises next, or None after the end of the ramp."""
    limit = limit_at(now_s, start_s, initial, slots, seconds)
    if limit >= slots:
        return None
    return step_time_s(limit - initial + 1, start_s, slots - initial, seconds)


def step_time_s(
    number: int, start_s: float, steps: int, seconds: float
) -> float:
    """Returns the time at which step `number` of `steps` is reached."""
    return start_s + seconds * number / steps
