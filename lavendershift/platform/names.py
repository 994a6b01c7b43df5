"""Names of the platform's protocol: headers, topics and keys."""

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
# Header with the prompt tokens and the maximum output tokens.
TOKENS = "X-Lavendershift-Token-Usage"
URGENCY = "X-Lavendershift-Request-Urgency"
WEIGHTS_VERSION = "X-Lavendershift-Expect-Version"
PIN_MS = "X-Lavendershift-Pin-Ms"
HOLD = "X-Lavendershift-Hold"
CACHE_BACKUP = "X-Lavendershift-Kv-Backup"
CACHE_SOURCE = "Kv-From"
CACHE_FETCH = "Kv-Fetch"
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"  # header of all responses of a leaving server
LIMIT = "Server-Limit"  # requests/s that a server takes from all VMs together
STORE_ERA = "Store-Era"  # header with the number of the store's last restore
AUTHORIZATION = "Authorization"
KEY_SCHEME = "bearer"

# Headers that only the router may set: those of callers are not forwarded.
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
        CACHE_BACKUP,
        CACHE_SOURCE,
        CACHE_FETCH,
        AUTHORIZATION,
        DEADLINE_MS,
    )
)

# Hop-by-hop headers, and others that apply to one connection or message only.
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

# Headers that are forwarded even if a caller names them in ``Connection``.
PROTECTED_HEADERS = frozenset(
    name.lower()
    for name in (REQUEST_ID, PROMPT_PARTS, LAST_EVENT_ID, MODEL, TOKENS, "Host")
)

SETTINGS_VARIABLE = "LAVENDERSHIFT_SETTINGS"

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
GRANTS_TOPIC = "keyed.grants"
LEASES_TOPIC = "keyed.passbooks"
VMS_TOPIC = "keyed.vms"
CONFIGURATION_KEY = b"config"
EVACUATION_PREFIX = b"evacuate/"  # of keys that end with a failure domain
