"""Names of the wire: headers, topics and calls."""

REQUEST_ID = "X-Lavendershift-Attempt-Id"
DEADLINE_MS = "X-Lavendershift-Deadline-Ms"
PROMPT_PARTS = "X-Lavendershift-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
SIGNATURE = "X-Lavendershift-Response-Signature"
CUSTOMER = "X-Lavendershift-Tenant"
EXPECTED_SERVER = "X-Lavendershift-Expect-Instance"
NOT_RUN = "X-Lavendershift-Not-Executed"
SERVER_ID = "X-Lavendershift-Instance-Id"
MODEL = "X-Lavendershift-Model"
TOKENS = "X-Lavendershift-Token-Usage"  # prompt tokens, most output tokens
URGENCY = "X-Lavendershift-Request-Urgency"
WEIGHTS_VERSION = "X-Lavendershift-Expect-Version"
PIN_MS = "X-Lavendershift-Pin-Ms"
HOLD = "X-Lavendershift-Hold"
BACKUP = "X-Lavendershift-Kv-Backup"
MEMORY_FROM = "Kv-From"
MEMORY_FETCH = "Kv-Fetch"
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"  # of the server that answers, in all its answers
AUTHORIZATION = "Authorization"
KEY_SCHEME = "bearer"

# Headers that callers must not reach a server with; the system sets them.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        SIGNATURE,
        CUSTOMER,
        EXPECTED_SERVER,
        NOT_RUN,
        SERVER_ID,
        URGENCY,
        WEIGHTS_VERSION,
        PIN_MS,
        HOLD,
        BACKUP,
        MEMORY_FROM,
        MEMORY_FETCH,
        AUTHORIZATION,
        DEADLINE_MS,
    )
)

# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)

# Headers a caller can't have dropped by naming them in ``Connection``.
KEPT_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID, PROMPT_PARTS, LAST_EVENT_ID, MODEL, TOKENS, "Host")
)

SETTINGS_VARIABLE = "LAVENDERSHIFT_SETTINGS"

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
GRANTS_TOPIC = "keyed.grants"
PASSBOOK_TOPIC = "keyed.passbooks"
VMS_TOPIC = "keyed.vms"
CONFIGURATION_KEY = b"config"
