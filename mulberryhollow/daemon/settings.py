"""Settings of the entry daemon."""

from mulberryhollow.coordination import intake
from mulberryhollow.coordination import rollout
from mulberryhollow import settings

__all__ = [
    "CAPACITY_INTERVAL_S",
    "CAPACITY_MODE",
    "CLOUD_ADDRESS",
    "ENVIRONMENT",
    "FAILURE_DOMAIN",
    "GRACE_S",
    "HTTP_ADDRESS",
    "INSTANCE",
    "LIST_INTERVAL_S",
    "LOAD_INTERVAL_S",
    "MEMORY_MB",
    "MOVE_EVALUATION_INTERVAL_S",
    "NOTICE_INTERVAL_S",
    "PEER_ADDRESS",
    "PEER_KEY_FILE",
    "REGION",
    "REPORT_INTERVAL_S",
    "ROLLOUT_CONFIRM_S",
    "ROLLOUT_RESERVE_S",
    "ROLLOUT_STEP_S",
    "STORE_ADDRESS",
    "THREADS",
    "parse_address",
]


def parse_address(text):
    """Return an address of the form ``host:port`` unchanged.

    Raises
    ------
    ValueError
        When the text is not ``host:port`` with a port below 65536.
    """
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is not host:port")
    return text


def _parse_name(text):
    """Return a name of letters, digits, dots and hyphens in lower case."""
    if not text.replace("-", "").replace(".", "").isalnum():
        raise ValueError(
            f"{text!r} is not a name of letters, digits, dots and hyphens"
        )
    return text.lower()


def _parse_positive(text):
    """Return a finite number above zero."""
    number = float(text)
    if not 0 < number < float("inf"):
        raise ValueError(f"{text!r} is not a finite number above zero")
    return number


def _parse_count(text):
    """Return a whole number above zero."""
    number = int(text)
    if number < 1:
        raise ValueError(f"{text!r} is not a whole number above zero")
    return number


def _parse_mode(text):
    """Return ``act`` or ``off``."""
    if text not in ("act", "off"):
        raise ValueError(f"{text!r} is neither act nor off")
    return text


INSTANCE = settings.declare(
    "instance", "name", _parse_name, None, "", "id of this instance"
)
FAILURE_DOMAIN = settings.declare(
    "instance",
    "failure_domain",
    _parse_name,
    None,
    "",
    "failure domain of this instance",
)
REGION = settings.declare(
    "instance", "region", _parse_name, "local", "", "region of this instance"
)
ENVIRONMENT = settings.declare(
    "instance",
    "environment",
    _parse_name,
    "production",
    "",
    "environment whose document is used",
)
HTTP_ADDRESS = settings.declare(
    "callers",
    "address",
    parse_address,
    "127.0.0.1:0",
    "host:port",
    "address that callers connect to; port 0 picks a free port",
)
THREADS = settings.declare(
    "callers",
    "threads",
    _parse_count,
    512,
    "threads",
    "maximum number of requests handled concurrently",
)
MEMORY_MB = settings.declare(
    "callers",
    "memory_mb",
    _parse_count,
    intake.DEFAULT_MEMORY_BYTES // intake.MIB,
    "MiB",
    "memory of the process; limits what is held for callers and peers",
)
GRACE_S = settings.declare(
    "callers",
    "grace_s",
    _parse_positive,
    60.0,
    "seconds",
    "time for running requests after SIGTERM, before they move to a peer",
)
STORE_ADDRESS = settings.declare(
    "platform",
    "store",
    parse_address,
    None,
    "host:port",
    "the platform's object API",
)
CLOUD_ADDRESS = settings.declare(
    "platform",
    "cloud",
    parse_address,
    None,
    "host:port",
    "the cloud API with the list of instances",
)
LIST_INTERVAL_S = settings.declare(
    "platform",
    "list_interval_s",
    _parse_positive,
    1.0,
    "seconds",
    "time between two reads of the list of instances",
)
NOTICE_INTERVAL_S = settings.declare(
    "platform",
    "notice_interval_s",
    _parse_positive,
    0.5,
    "seconds",
    "time between two reads of the reclaim notices",
)
LOAD_INTERVAL_S = settings.declare(
    "platform",
    "load_interval_s",
    _parse_positive,
    1.0,
    "seconds",
    "time between two reads of the endpoints' load",
)
CAPACITY_MODE = settings.declare(
    "capacity",
    "mode",
    _parse_mode,
    "off",
    "",
    "act starts and stops instances by load and budget; off does not",
)
CAPACITY_INTERVAL_S = settings.declare(
    "capacity",
    "interval_s",
    _parse_positive,
    5.0,
    "seconds",
    "time between two evaluations of the capacity",
)
PEER_ADDRESS = settings.declare(
    "peers",
    "address",
    parse_address,
    "127.0.0.1:0",
    "host:port",
    "address that peers connect to; port 0 picks a free port",
)
REPORT_INTERVAL_S = settings.declare(
    "peers",
    "tell_interval_s",
    _parse_positive,
    1.0,
    "seconds",
    "time between two reports of load and demand to the peers",
)
MOVE_EVALUATION_INTERVAL_S = settings.declare(
    "rollout",
    "judge_interval_s",
    _parse_positive,
    0.5,
    "seconds",
    "time between two evaluations of the running moves",
)
PEER_KEY_FILE = settings.declare(
    "peers",
    "key_file",
    str,
    None,
    "",
    "file with the key that all instances of the environment share",
)
ROLLOUT_STEP_S = settings.declare(
    "rollout",
    "step_s",
    _parse_positive,
    rollout.Times().step_s,
    "seconds",
    "minimum time at each share of a new version",
)
ROLLOUT_CONFIRM_S = settings.declare(
    "rollout",
    "confirm_s",
    _parse_positive,
    rollout.Times().confirm_s,
    "seconds",
    "minimum time at the last share before a move is done",
)
ROLLOUT_RESERVE_S = settings.declare(
    "rollout",
    "reserve_s",
    _parse_positive,
    rollout.Times().reserve_s,
    "seconds",
    "time reserved at the end of a move for a slow store or an outage",
)
