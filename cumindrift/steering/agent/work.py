"""The requests in progress at a target, as far as its agent can tell."""

from attrs import define, field

from cumindrift.fleet.manifest import DEFAULT_LIMITS, RequestLimits

# Weights of a new response time in the moving averages of mean and deviation.
_MEAN_WEIGHT = 0.1
_DEVIATION_WEIGHT = 0.25
# A response is overdue after the mean and this many deviations.
OVERDUE_DEVIATIONS = 4
# A flow's first request comes within a round trip, or its client has left: a
# SYN may have waited longer than its client did.
EXPECTED_MAX_S = 0.1
# Work is learned for at most this many different limits of routes.
LEARNED_LIMITS_MAX = 32
_MS_PER_S = 1000


@define(slots=True, eq=False, repr=False)
class Request:
    """A request in progress: when it came and what its route allows."""

    begun_s: float
    limits: RequestLimits
    # How often each slot has to be filled until this request has been
    # processed, if all requests take the same time.
    rounds: float = 1.0

    def is_late(self, now_s: float) -> bool:
        """Returns whether a response that came now would be late."""
        return now_s - self.begun_s > self.limits.target_latency_s


@define(slots=True, eq=False, repr=False)
class WorkTracker:
    """Counts the requests that occupy a target, at most one for each flow.

    A request begins with new data of the client. It ends with the response,
    when the client closes or resets the flow, or when nobody waits for the
    response any more. The target reports none of this, so a request whose end
    is missed must not count for long: the agent would refuse new flows for a
    target that is idle.
    """

    response_s: float = 0.0
    # Mean time that a request takes once it is in a slot.
    service_s: float = 0.0
    # How many requests the target processes concurrently.
    slots: int = 1
    # Mean deviation of the response times from their mean.
    deviation_s: float = 0.0
    # In the order in which they began.
    _requests: dict[bytes, Request] = field(factory=dict)
    # Flows that are opening or open and whose first request has not come.
    _expected_s: dict[bytes, float] = field(factory=dict)
    # The mean time in a slot by the limits of the request's route.
    _service_by_limits_s: dict[RequestLimits, float] = field(factory=dict)
    # When the latest request that was answered had begun.
    _answered_begun_s: float = 0.0

    @property
    def count(self) -> int:
        """Returns the number of requests in progress."""
        return len(self._requests)

    @property
    def expected_count(self) -> int:
        """Returns the number of flows whose first request is expected."""
        return len(self._expected_s)

    def expect(self, key: bytes, now_s: float) -> None:
        """Records a new flow, whose first request is expected soon."""
        self._expected_s[key] = now_s

    def is_in_progress(self, key: bytes) -> bool:
        """Returns whether a flow has a request in progress."""
        return key in self._requests

    def begin(
        self, key: bytes, now_s: float, limits: RequestLimits = DEFAULT_LIMITS
    ) -> None:
        """Records data of a client; more data belongs to the same request."""
        self._expected_s.pop(key, None)
        if key not in self._requests:
            rounds = max((self.count + 1) / self.slots, 1.0)
            self._requests[key] = Request(now_s, limits, rounds)

    def end(self, key: bytes) -> Request | None:
        """Records that nobody waits for a flow's response any more.

        Returns the request that was in progress, if any.
        """
        self._expected_s.pop(key, None)
        return self._requests.pop(key, None)

    def answer(self, key: bytes, now_s: float) -> float | None:
        """Records data of the target; returns the time that it took.

        None if the flow has no request in progress.
        """
        request = self._requests.pop(key, None)
        if request is None:
            return None
        self._answered_begun_s = max(self._answered_begun_s, request.begun_s)
        taken_s = now_s - request.begun_s
        self._observe(taken_s)
        self._observe_service(request, taken_s)
        return taken_s

    def expected_response_s(self, limits: RequestLimits) -> float:
        """Returns the expected time to the response of a new request."""
        own_s = self._service_by_limits_s.get(limits, self.service_s)
        ahead_count = max(self.count + self.expected_count + 1 - self.slots, 0)
        return own_s + ahead_count / self.slots * self.service_s

    def service_ms(self, now_s: float) -> int:
        """Returns the time that a request takes once it is in a slot.

        That is the moving average, or what the oldest request shows if that
        is higher.
        """
        oldest = next(iter(self._requests.values()), None)
        age_s = (now_s - oldest.begun_s) / oldest.rounds if oldest else 0.0
        return int(max(self.service_s, age_s) * _MS_PER_S)

    def response_ms(self, now_s: float) -> int:
        """Returns the time to the first answer of a request.

        That is the moving average, or the age of the oldest request if that is
        higher: a target that has become slow shows it before it answers.
        """
        oldest = next(iter(self._requests.values()), None)
        age_s = now_s - oldest.begun_s if oldest else 0.0
        return int(max(self.response_s, age_s) * _MS_PER_S)

    def drop_stale(self, now_s: float) -> int:
        """Stops counting the requests that are no longer in progress.

        Returns how many they are: these requests were never answered.

        A client waits no longer than the time limit of its route. A target
        answers roughly in order: if a request that came much later has been
        answered, an earlier one without an answer was lost or abandoned.
        """
        overdue_s = self.response_s + OVERDUE_DEVIATIONS * self.deviation_s
        stale = [
            key
            for key, request in self._requests.items()
            if now_s - request.begun_s > request.limits.time_limit_s
            or self._answered_begun_s - request.begun_s
            > max(overdue_s, request.limits.target_latency_s)
        ]
        for key in stale:
            self._requests.pop(key)
        self._drop_expected(now_s)
        return len(stale)

    def _drop_expected(self, now_s: float) -> None:
        late = [
            key
            for key, opened_s in self._expected_s.items()
            if now_s - opened_s > EXPECTED_MAX_S
        ]
        for key in late:
            self._expected_s.pop(key)

    def _observe_service(self, request: Request, taken_s: float) -> None:
        service_s = taken_s / request.rounds
        self.service_s = _moved_mean(self.service_s, service_s)
        known = self._service_by_limits_s
        if request.limits not in known and len(known) >= LEARNED_LIMITS_MAX:
            known.pop(next(iter(known)))
        known[request.limits] = _moved_mean(
            known.get(request.limits, 0.0), service_s
        )

    def _observe(self, taken_s: float) -> None:
        if not self.response_s:
            self.response_s = taken_s
            self.deviation_s = taken_s / 2
            return
        error_s = taken_s - self.response_s
        self.response_s += error_s * _MEAN_WEIGHT
        self.deviation_s += (
            abs(error_s) - self.deviation_s
        ) * _DEVIATION_WEIGHT


def _moved_mean(mean_s: float, observed_s: float) -> float:
    """Returns a moving average with a new observation; 0 has none yet."""
    if not mean_s:
        return observed_s
    return mean_s + (observed_s - mean_s) * _MEAN_WEIGHT
