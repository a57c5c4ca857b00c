"""Retry of a request, drawn from the budget before it is sent."""

__all__ = ["DrawnRetry"]


class DrawnRetry:
    """The retry that the next attempt of a request may use.

    It is drawn before a connection is taken, and kept for a further attempt
    while nothing is sent.

    Parameters
    ----------
    dispatcher : Dispatcher
        Owns the retry budget.
    service : str
        Service of the request.
    """

    def __init__(self, dispatcher, service):
        self._dispatcher = dispatcher
        self._service = service
        self._is_drawn = False

    def draw(self, is_speculative=False):
        """Return whether there is a retry, drawn now or before.

        Parameters
        ----------
        is_speculative : bool
            Whether an earlier attempt of the request goes on.
        """
        self._is_drawn = self._is_drawn or self._dispatcher.spend_retry(
            self._service, is_speculative=is_speculative
        )
        return self._is_drawn

    def use(self):
        """Use up the retry, if there is one, for a request that is sent."""
        self._is_drawn = False
