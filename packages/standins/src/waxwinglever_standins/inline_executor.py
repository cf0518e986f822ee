"""An executor that runs each call at once, in the calling thread."""

from concurrent import futures


class InlineExecutor(futures.Executor):
    """Stands in for a thread pool where tests need a fixed order of calls."""

    def submit(self, fn, /, *args, **kwargs):
        """Calls a function and returns its ended future."""
        call = futures.Future()
        try:
            call.set_result(fn(*args, **kwargs))
        except Exception as error:  # pylint: disable=broad-exception-caught
            call.set_exception(error)
        return call
