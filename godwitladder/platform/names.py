"""All names in the protocols of the users' platform."""

# Headers of requests.
ATTEMPT = "Godwitladder-Attempt-Id"
DEADLINE_MS = "Godwitladder-Deadline-Ms"
EXPECT_INSTANCE = "Godwitladder-Expect-Instance"
WORKSPACE = "Godwitladder-Tenant"
TOKENS = "Godwitladder-Token-Usage"
PREFIX = "Godwitladder-Prompt-Prefix"
LENGTH_HINT = "Godwitladder-Length-Hint"
LAST_EVENT = "Last-Event-Id"
RESUMES = "Resumes"

# Headers of answers.
SIGNATURE = "Godwitladder-Response-Signature"
INSTANCE = "Godwitladder-Instance-Id"
NOT_EXECUTED = "Godwitladder-Not-Executed"
RATE_LIMIT = "Server-Limit"
LEAVING = "Server-Leaving"
BRITTLE = "Server-Brittle"
LOAD = "Godwitladder-Engine-Load"
RETRY_AFTER = "Retry-After"

SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        EXPECT_INSTANCE,
        WORKSPACE,
        "Godwitladder-Expect-Version",
        "Godwitladder-Hold",
        "Godwitladder-Pin-Ms",
        "Godwitladder-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
        "Authorization",
    )
)
"""Request headers that only the system may set, or that hold the caller's secret.
The caller's values of them are never passed on to a target."""

# Calls of the store.
READ = "/api/log-read"
NEWEST = "/api/log-newest"
APPEND = "/api/log-append"

STORE_ERA = "Store-Era"
"""Header of all answers of the store."""

# Topics of the store.
CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
ENTRIES_TOPIC = "keyed.servers"
HOSTS_TOPIC = "keyed.hosts"
STATUS_TOPIC = "keyed.status"
FLEET_TOPIC = "keyed.fleet"
FLEET_KEY = "identity"
STREAMS_TOPIC = "streams"
"""Not keyed, so that its records expire; each has the form of a keyed one all the same,
with an empty key."""
CRASHES_TOPIC = "keyed.crashes"
ROLLOUT_PREFIX = "rollout/"
STATUS_ORDER = "order"
"""Field of a status with the offset of the order that it answers. The same version may
be ordered again after it was rolled back."""

SETTINGS_VARIABLE = "GODWITLADDER_NODE_FILE"
