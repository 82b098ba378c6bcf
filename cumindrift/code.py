"""Numbered result codes; docs/RESULT-CODES.md lists the same codes."""

from enum import IntEnum, unique


@unique
class ResultCode(IntEnum):
    """Every result code that callers, operators and logs see.

    By hundreds: 1xx done, 2xx certainly not run, 3xx outcome unknown, 4xx
    settings refused, 5xx platform, 6xx process start, 7xx dropped packets
    and messages.
    """

    def __new__(cls, number: int, meaning: str) -> 'ResultCode':
        """Creates a member with a number and its meaning."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.meaning = meaning
        return member

    meaning: str

    DONE = 100, 'The request ran and its whole answer is at hand.'
    ACCEPTED = 101, 'The write is stored and was handed to peers.'
    STILL_RUNNING = 102, 'The request runs; its answer is not complete yet.'
    UNCHANGED = 103, 'The write id was seen before; nothing changed.'

    NO_ROOM = 200, 'Not run: no candidate can bear another flow or request.'
    NO_SUCH_FLOW = 201, 'Not run: no process holds this flow.'
    TOO_LATE = 202, 'Not run: the remaining time ended before it started.'
    DATA_CENTRE_OUT = 203, 'Not run: the data centre was taken out.'
    FORBIDDEN_ID = 204, 'Not run: the ledger now forbids this request id.'
    CANCELLED = 205, 'Not run: the caller cancelled it before it started.'
    BUDGET_SPENT = 206, 'Not run: the retry budget of the service is spent.'
    BAD_REQUEST = 207, 'Not run: the request could not be read.'
    STOPPING = 208, 'Not run: the agent is stopping and takes no new work.'
    TARGET_SHED = 209, 'Not run: the target refused it before running it.'
    NOT_SENT = 210, 'Not run: the target could not be reached.'

    OUTCOME_UNKNOWN = 300, 'It may have run; nobody who could know is left.'
    OTHER_INCARNATION = 301, 'Unknown: the agent restarted since the open.'
    ID_EXPIRED = 302, 'Unknown: the id is older than the ledger remembers.'
    DEADLINE_PASSED = 303, 'Unknown: the time ended while it was running.'
    TARGET_FAILED = 304, 'Unknown: the target broke off while running it.'
    ANSWER_DROPPED = 305, 'It ran, but its answer is no longer kept.'
    FLOW_LOST = 306, 'Unknown: the agent asked does not hold the flow.'
    CALLER_QUIET = 307, 'Unknown: stopped, the caller took no more parts.'
    HANDOVER_PENDING = 308, 'Stored, but no peer has confirmed it yet.'

    SYNTAX = 400, 'The document cannot be parsed.'
    UNKNOWN_FIELD = 401, 'A field is not known at this place.'
    WRONG_TYPE = 402, 'A value has the wrong type or is out of range.'
    DUPLICATE_KEY = 403, 'A key stands twice in one object.'
    VERSION_CONFLICT = 404, 'The version written against is not current.'
    NOT_YOURS = 405, 'The token does not own the subtree written to.'
    NO_TOKEN = 406, 'The token is missing or not known.'
    INCONSISTENT = 407, 'The document as a whole does not hold together.'
    NO_SUCH_PATH = 408, 'Nothing is stored under this path.'
    TOO_LARGE = 409, 'The document or request is larger than allowed.'
    VERSION_GONE = 410, 'The history does not reach back to this version.'
    BAD_CALL = 411, 'The call to the administration API cannot be read.'

    PLATFORM_DOWN = 500, 'The platform does not answer.'
    PLATFORM_SLOW = 501, 'The platform did not answer in time.'
    PLATFORM_CONFLICT = 502, 'The conditional update met another version.'
    PLATFORM_ANSWER_LOST = 503, 'The write may have taken effect.'
    PLATFORM_MALFORMED = 504, 'The platform answered what cannot be read.'
    PLATFORM_BUDGET = 505, 'Not run: too many platform calls are waiting.'

    SETTINGS_FILE = 600, 'The settings file cannot be used.'
    PORT_IN_USE = 601, 'An address of this process is taken or not its own.'
    RESTARTS_EXHAUSTED = 602, 'A child failed too often; the process stopped.'
    SUPERSEDED = 603, 'A later process of the same name is a member.'
    NO_BALANCER = 604, 'No balancer answers at the addresses given.'
    BAD_COMMAND = 605, 'The command line cannot be understood.'

    PACKET_MALFORMED = 700, 'A packet from the fabric cannot be parsed.'
    PACKET_NO_SERVICE = 701, 'No service stands behind the address.'
    PACKET_NO_TARGET = 702, 'The service has no target to steer to.'
    MESSAGE_FORGED = 703, 'A peer message has no valid digest.'
    MESSAGE_MALFORMED = 704, 'A peer message cannot be decoded.'
    HOP_LIMIT = 705, 'A packet used up its hops.'
    SEND_BUFFER_FULL = 706, 'The kernel took no more datagrams.'
    WRONG_SERVICE = 707, 'A packet reached an agent of another service.'
    SEARCH_UNSURE = 708, 'A search ended while views or an agent were fresh.'
    OPEN_PENDING = 709, 'A repeated open while the first is being placed.'
    SNAPSHOT_CORRUPT = 710, 'A snapshot has a wrong digest or content.'
    MESSAGE_STALE = 711, 'A peer message is of an old incarnation or probe.'
    MESSAGE_MISDIRECTED = 712, 'A peer message was meant for another process.'
