namespace py jujubepass.generated.peer

// Messages between nodes. Every message goes one way; a receiver that has something to
// say sends a message of its own. Fields are only ever added, never renumbered.

struct Heartbeat {
  1: string node,
  2: string incarnation,
  3: string state,
  4: i64 configuration_number,
  5: string configuration_digest,
}

// Shares of client account limits: rates in thousandths of a request a second.
struct ShareDemand {
  1: string account,
  2: i64 wanted_rate,
  3: i64 held_rate,
  4: i32 wanted_running,
  5: i32 held_running,
}

struct ShareDemands {
  1: string node,
  2: list<ShareDemand> demands,
}

struct ShareGrant {
  1: string account,
  2: i64 rate,
  3: i32 running,
}

struct ShareGrants {
  1: string node,
  2: list<ShareGrant> grants,
}

// Exactly one field is set.
struct Message {
  1: optional Heartbeat heartbeat,
  20: optional ShareDemands share_demands,
  21: optional ShareGrants share_grants,
}

// First frames of a connection: the receiver challenges, the sender proves that it
// holds the peer key.
struct Challenge {
  1: binary nonce,
}

struct Proof {
  1: string node,
  2: binary mac,
}
