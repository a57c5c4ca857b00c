"""Assembly of one answer from the lines of one or more attempts."""

import attrs

from mulberryhollow.coordination.streams import fault

__all__ = ["Assembly", "End", "TokenLine"]


@attrs.frozen
class TokenLine:
    """One token of an answer.

    Parameters
    ----------
    request_id : str
        Id of the attempt that the token belongs to.
    seq : int
        Position of the token in the whole answer, from 0.
    token : str
        Text of the token.
    """

    request_id: str
    seq: int
    token: str


@attrs.frozen
class End:
    """The end marker of an answer.

    Parameters
    ----------
    request_id : str
        Id of the attempt that the end marker belongs to.
    seq : int
        Number of tokens in the whole answer.
    computed_prompt_tokens : int
        Prompt tokens that the engine computed before the first token.
    cached_prompt_tokens : int
        Prompt tokens that the engine found in its cache.
    """

    request_id: str
    seq: int
    computed_prompt_tokens: int = 0
    cached_prompt_tokens: int = 0


class Assembly:
    """Sequence of tokens that checks the attempt and order of each line.

    Parameters
    ----------
    tokens : iterable of str
        Tokens already received, by an earlier instance.

    Examples
    --------
    >>> answer = Assembly()
    >>> answer.start("r1~1")
    >>> answer.add_line(TokenLine("r1~1", 0, " plumber"))
    >>> answer.add_line(End("r1~1", 1))
    >>> answer.is_complete, answer.tokens
    (True, [' plumber'])
    """

    def __init__(self, tokens=()):
        self.tokens = list(tokens)
        self.is_complete = False
        self._attempt_id = None

    def start(self, attempt_id):
        """Start an attempt that continues after the tokens received so far."""
        self._attempt_id = attempt_id

    def add_line(self, line):
        """Add one line; return None, or the fault of the line.

        Parameters
        ----------
        line : TokenLine or End
            The next line received.

        Returns
        -------
        None, Crossed or Truncated
        """
        if line.request_id != self._attempt_id:
            return fault.Crossed(f"line of {line.request_id}")
        if line.seq != len(self.tokens):
            return self._classify_out_of_sequence(line)
        match line:
            case TokenLine():
                self.tokens.append(line.token)
            case End():
                self.is_complete = True
        return None

    def finish(self):
        """Handle the end of the connection; return None or the fault."""
        if self.is_complete:
            return None
        return fault.Truncated(len(self.tokens))

    def _classify_out_of_sequence(self, line):
        """Return the fault of a line that is out of sequence."""
        if isinstance(line, End):
            return fault.Truncated(len(self.tokens))
        return fault.Crossed(f"token {line.seq} after {len(self.tokens)}")
