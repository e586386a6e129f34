"""The numbered log events. A test checks that ``docs/EVENTS.md`` lists the same ones."""

from __future__ import annotations

from enum import Enum


class Event(Enum):
    """A log event: its number, its level and the sentence that describes it.

    The meaning of a number never changes. The first digit is the group: 1 process, 2 requests,
    3 plans, 4 peers, 5 endpoints, 6 at-most-once, 7 platform.
    """

    GATEWAY_STARTED = (1001, "info", "gateway started")
    GATEWAY_READY = (1002, "info", "gateway ready to serve")
    DRAIN_STARTED = (1003, "info", "graceful shutdown started")
    DRAIN_FINISHED = (1004, "info", "graceful shutdown finished")
    DRAIN_INCOMPLETE = (1005, "error", "graceful shutdown ended before all requests completed")
    STATE_DUMPED = (1006, "info", "state dump requested")
    SETTINGS_RELOADED = (1007, "info", "settings reloaded")
    SETTINGS_REJECTED = (1008, "error", "changed settings are invalid, previous ones stay in use")
    PORT_NOT_OPENED = (1009, "warning", "port could not be opened")
    BACKGROUND_TASK_FAILED = (1010, "error", "background task failed and continues")
    REQUEST_OPEN_AT_STOP = (1011, "error", "request open when the graceful shutdown ended")
    REQUEST_ANSWERED = (2001, "info", "request answered")
    REQUEST_REFUSED = (2002, "warning", "request ended with a problem")
    CALLER_DISCONNECTED = (2003, "warning", "caller disconnected before the answer was complete")
    CALLER_TOO_SLOW = (2004, "warning", "caller sent or read too slowly")
    BAD_CONNECTION = (2005, "warning", "connection sent no valid request")
    ATTEMPT_FAILED = (2006, "warning", "attempt on an endpoint failed")
    STREAM_RESUMED = (2007, "warning", "stream resumed on another endpoint")
    REQUEST_CRASHED = (2008, "error", "request handler failed")
    CLIENT_DROPPED = (2009, "warning", "client closed or refused to protect the process")
    PLANS_APPLIED = (3001, "info", "plan revision in force")
    PLANS_REJECTED = (3002, "error", "stored plans are invalid, previous revision stays in use")
    PLANS_UNREACHABLE = (3003, "warning", "plans could not be read")
    STALE_PLANS_REJECTED = (3004, "warning", "plans with a lower revision rejected")
    ROUTES_APPLIED = (3005, "info", "route table in force")
    STALE_ROUTES_REJECTED = (3006, "warning", "route table with a lower revision rejected")
    CONTROL_ITEM_IGNORED = (3007, "warning", "invalid item in the store, previous one stays in use")
    CONTROL_FROM_PEER = (3008, "info", "control items fetched from a peer")
    PEER_EXCHANGE_FAILED = (4001, "warning", "exchange with a peer failed")
    PEER_JOINED = (4002, "info", "peer seen for the first time")
    PEER_LOST = (4003, "warning", "peer no longer reported")
    FORWARD_REFUSED = (4004, "warning", "forwarded request rejected")
    REQUEST_FORWARDED = (4005, "info", "request sent to another region")
    HOP_ATTEMPTED = (4006, "info", "attempt made on behalf of a gateway in another region")
    COLLECTOR_SELECTED = (4007, "info", "collector selected as the source of the region's digests")
    COLLECTOR_TIMED_OUT = (4008, "warning", "collector timed out and is temporarily excluded")
    ENDPOINT_LEAVING = (5001, "info", "endpoint is leaving and gets no new requests")
    CIRCUIT_OPENED = (5002, "warning", "circuit breaker opened for an endpoint")
    CIRCUIT_CLOSED = (5003, "info", "circuit breaker closed for an endpoint")
    LOAD_POLL_FAILED = (5004, "warning", "load report could not be read")
    FINGERPRINT_BLAMED = (5005, "warning", "request was running on an endpoint that crashed")
    FINGERPRINT_QUARANTINED = (5006, "error", "request quarantined")
    ENGINE_LOAD_REQUESTED = (5007, "info", "engine instructed to load a version")
    ENGINE_LOAD_REQUEST_FAILED = (5008, "warning", "engine did not accept an instruction")
    ENGINE_CONTROL_LEASE_ACQUIRED = (
        5009,
        "info",
        "lease on engine control acquired with a new fencing token",
    )
    ENDPOINT_LISTED = (5010, "info", "endpoint listed or changed")
    ENDPOINT_UNLISTED = (5011, "info", "endpoint no longer listed")
    DOMAIN_EVACUATED = (5012, "warning", "evacuation of a failure domain started or ended")
    ENDPOINT_BACKOFF = (5013, "warning", "endpoint refused a request with Retry-After, backing off")
    LOST_ATTEMPT_NOT_BLAMED = (
        5014,
        "info",
        "lost attempt not counted as blame against its request",
    )
    FINGERPRINT_CLEARED = (5015, "info", "suspected request completed, its blames removed")
    BLAME_RECEIVED = (5016, "info", "blame of a request received from a peer")
    FINGERPRINT_ON_TRIAL = (5017, "warning", "quarantined request sent on trial")
    SUSPICIONS_RECEIVED = (5018, "info", "suspicions of requests received from a peer")
    QUARANTINE_RECORDED = (5019, "info", "quarantine written to the store")
    QUARANTINE_NOT_RECORDED = (5020, "warning", "quarantine could not be written to the store")
    REQUEST_LIMIT_CHANGED = (5021, "warning", "endpoint's request limit named, changed or lifted")
    REQUEST_LIMIT_INVALID = (5022, "warning", "endpoint named an invalid request limit, ignored")
    PERMIT_ISSUER_TIMED_OUT = (
        5023,
        "warning",
        "issuer of an endpoint's permits timed out, asking the next gateway for a while",
    )
    ENDPOINT_ANSWER_MALFORMED = (5024, "warning", "endpoint's answer could not be decoded, ignored")
    PROMPT_PART_HELD = (
        5025,
        "error",
        "part of prompts crashes endpoints, requests with it refused",
    )
    ENDPOINT_REACH_CHANGED = (5027, "warning", "endpoint became reachable or unreachable")
    GATEWAY_PARTITIONED = (
        5028,
        "error",
        "no endpoint of the region is reachable, requests go through other gateways",
    )
    GATEWAY_PARTITION_ENDED = (5029, "warning", "endpoints of the region are reachable again")
    ENDPOINTS_BRITTLE = (5030, "warning", "endpoints of a service said that they are brittle")
    COLD_ENDPOINT_SEND = (5031, "info", "request sent to a cold endpoint")
    ENDPOINT_RUN_UNVERIFIED = (5033, "warning", "endpoint may have restarted, counts as cold")
    ENDPOINT_RUN_VERIFIED = (5034, "info", "endpoint that may have restarted was checked")
    ENDPOINT_COLD = (5032, "warning", "endpoint said that it is cold, its entry does not say so")
    WORKSPACE_OVER_QUOTA = (5035, "warning", "workspace is over its quota, its requests get 429")
    WORKSPACE_WITHIN_QUOTA = (5036, "info", "workspace is within its quota again")
    QUOTA_ISSUER_TIMED_OUT = (
        5037,
        "warning",
        "issuer of a workspace's quota timed out, asking the next gateway for a while",
    )
    ENGINES_SHORT = (5039, "info", "urgent request found no engine, less urgent ones yield")
    STREAM_MOVED = (5038, "info", "stream leaves an endpoint that will be gone before it ends")
    PROMPT_PART_RELEASED = (5026, "info", "part of prompts no longer held to crash endpoints")
    KEY_CLAIMED = (6001, "info", "idempotency key claimed in the key-value service")
    KEY_CLAIM_FAILED = (6002, "warning", "idempotency key could not be claimed")
    OPERATION_DISPATCHED = (6003, "info", "at-most-once operation dispatched")
    OPERATION_OUTCOME_UNKNOWN = (6004, "error", "outcome of an at-most-once operation unknown")
    OPERATION_RECONCILED = (6005, "info", "outcome determined by the service's look-up")
    HANDOVER_DONE = (6006, "info", "at-most-once table transferred to a successor")
    HANDOVER_FAILED = (6007, "error", "at-most-once table could not be transferred")
    PLATFORM_UNREACHABLE = (7001, "warning", "platform service could not be reached")
    PLATFORM_RECOVERED = (7002, "info", "platform service is reachable again")
    STORE_HISTORY_LOST = (7004, "warning", "store history is incomplete, listing all entries")
    REGISTRATION_FAILED = (7005, "warning", "gateway could not be registered in the store")
    PLATFORM_ANSWER_MALFORMED = (
        7006,
        "warning",
        "platform service's answer could not be decoded, ignored",
    )
    VERSION_NOT_RECORDED = (7008, "warning", "software version could not be recorded in the store")
    STREAMS_NOT_RECORDED = (7009, "warning", "streams could not be recorded in the store")
    STREAM_RECORDS_READ = (7010, "info", "records of streams read from the store")
    STREAM_RECORDS_NOT_READ = (7011, "warning", "records of streams could not be read")
    VERSIONS_NOT_READ = (7012, "warning", "records of software versions could not be read")
    STORE_ERA_CHANGED = (
        7007,
        "warning",
        "store has returned from an older copy, items are kept until they are written again",
    )
    CLIENT_DIRECTORY_STALE = (
        7003,
        "warning",
        "client directory unreachable, expired cache entry used",
    )

    @property
    def number(self) -> int:
        """The event's number, such as ``2001``; its first digit is the group."""
        return self.value[0]

    @property
    def level(self) -> str:
        """The log level: ``info``, ``warning`` or ``error``."""
        return self.value[1]

    @property
    def sentence(self) -> str:
        """A short description of what happened."""
        return self.value[2]
