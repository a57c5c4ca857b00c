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
        self._drawn = None

    def draw(self, is_speculative=False):
        """Return whether there is a retry, drawn now or before.

        Parameters
        ----------
        is_speculative : bool
            Whether an earlier attempt of the request goes on.
        """
        self._drawn = self._drawn or self._dispatcher.spend_retry(
            self._service, is_speculative=is_speculative
        )
        return bool(self._drawn)

    def use(self):
        """Use up the retry, if there is one, for a request that was sent."""
        drawn, self._drawn = self._drawn, None
        if drawn:
            self._dispatcher.on_retry()

    def give_back(self):
        """Give the retry back, if there is one that was not used."""
        drawn, self._drawn = self._drawn, None
        if drawn:
            self._dispatcher.give_back_retry(drawn)
