"""Settings tree of the test fleet of real routers."""

import hashlib

DOMAINS = ("rennes", "quimper", "brest")
CUSTOMER = "desks/rennes/plume"
API_KEY = "key-plume"


def find_domain(index):
    return DOMAINS[index % len(DOMAINS)]


def make_tree(fleet):
    """Return the settings of each node of the tree, by path."""
    nodes = {
        "": {
            "models": ["index-large"],
            "max_output_tokens": 1024,
            "requests_per_s": 10_000.0,
            "concurrent_requests": 1_000,
            "deadline_ms": 30_000,
        },
        CUSTOMER: {"budget": "plume", "api_key_hashes": [hash_key(API_KEY)]},
        "models/index-large": {"max_context_tokens": 32_768},
        "services/approvals": {"non_repeatable": ["POST /proofs"], "price_tokens": 10},
        "services/catalogue": {"non_repeatable": [], "price_tokens": 0},
    }
    for name, engine in fleet.engines.items():
        nodes[f"servers/{name}"] = {
            "kind": "engine",
            "address": f"127.0.0.1:{engine.port}",
            "failure_domain": DOMAINS[0],
            "models": ["index-large"],
            "capacity": 16,
        }
    for service in ("approvals", "catalogue"):
        nodes[f"servers/{service}"] = {
            "kind": "service",
            "address": f"127.0.0.1:{fleet.service.port}",
            "failure_domain": DOMAINS[0],
            "service": service,
            "capacity": 16,
        }
    for i, name in enumerate(fleet.names):
        nodes[f"vms/{name}"] = {
            "address": f"127.0.0.1:{fleet.ports[name]}",
            "peer_address": f"tcp://127.0.0.1:{fleet.links[f'{name}-peer'].port}",
            "failure_domain": find_domain(i),
        }
    return nodes


def hash_key(api_key):
    return hashlib.sha256(api_key.encode()).hexdigest()
