@0xb7210f540f009a0a;

# Messages between hosts.
#
# A datagram has a Packet in packed encoding as its body; crates/wire/src/packet.rs
# describes its header. A TCP connection starts with the frames Hello, Welcome and
# Proof, each prefixed with its length as a little-endian UInt16. After Proof it
# carries packed Cap'n Proto RPC messages, with Session as the bootstrap interface of
# the accepting side.

# --- datagrams -------------------------------------------------------------

struct Packet {
  union {
    digest @0 :Digest;
    claim @1 :Claim;
  }
}

struct Digest {
  # Entries are stored by column, because 24 entries as structs exceed 1,200 bytes.
  revision @0 :UInt64;
  content @1 :Data;
  # Host names of the entries, separated by newlines.
  names @2 :Text;
  # Distinct names of data centres and regions, separated by newlines.
  places @3 :Text;
  # Incarnation of the first entry, then the zigzag-encoded difference of each other
  # one from it.
  incarnations @4 :List(UInt64);
  counters @5 :List(UInt64);
  # Bit 0: leaving. Bit 1: suspected. Bit 2: the peer address is IPv6. Bit 3: the
  # caller address is IPv6. Bit 4: both addresses have the same IP, which is stored
  # once. Bit 5: both ports equal those of the first entry and are omitted.
  flags @6 :List(UInt8);
  # Indices into places.
  dataCentres @7 :List(UInt8);
  regions @8 :List(UInt8);
  # Peer port and caller port of each entry, unless omitted.
  ports @9 :List(UInt16);
  # Peer IP of each entry, then the caller IP unless it is the same; 4 or 16 bytes
  # each.
  addresses @10 :Data;
}

struct Claim {
  name @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
  serial @3 :UInt64;
  ack :union {
    none @4 :Void;
    some @5 :Ack;
  }
}

struct Ack {
  incarnation @0 :UInt64;
  epoch @1 :UInt64;
  serial @2 :UInt64;
}

# --- handshake -------------------------------------------------------------

struct Hello {
  # First frame, from the connecting side.
  version @0 :UInt16;
  name @1 :Text;
  incarnation @2 :UInt64;
  nonce @3 :Data;
  # Ids of the keys that the connecting side accepts, its signing key first.
  keys @4 :List(UInt32);
}

struct Welcome {
  # Second frame, from the accepting side.
  version @0 :UInt16;
  name @1 :Text;
  incarnation @2 :UInt64;
  nonce @3 :Data;
  # Id of the key that both sides use for their proofs.
  key @4 :UInt32;
  # HMAC-SHA-256 of the Hello frame and this message, in which the proof is 32 zero
  # bytes.
  proof @5 :Data;
}

struct Proof {
  # Third and last frame, from the connecting side.
  # HMAC-SHA-256 of the Hello frame and the Welcome frame.
  proof @0 :Data;
}

# --- calls -----------------------------------------------------------------

interface Session {
  # Resolves when the request is granted or refused.
  ask @0 (ask :Ask) -> (reply :Reply);
  # Cancels an ask or returns a grant.
  cancel @1 (id :UInt64) -> ();
  # Reports the first output of a granted ask.
  first @2 (id :UInt64) -> ();
  # Reports the end of a granted ask.
  done @3 (done :Done) -> ();
  # Runs a non-idempotent request at the owner of its idempotency key.
  run @4 (run :Run) -> (outcome :Outcome);
  # Fetches the configuration files that differ from those of the calling host.
  fetch @5 (fetch :Fetch) -> (files :Files);
  # Reports a request that was in flight when an endpoint crashed.
  blame @6 (blame :Blame) -> ();
  # Reports that the calling host is leaving and sends no new asks.
  leave @7 () -> ();
  # Checks that the link works and the host responds.
  ping @8 () -> ();
}

struct Ask {
  pool @0 :Text;
  shard @1 :UInt32;
  id @2 :UInt64;
  class @3 :Text;
  team @4 :UInt32;
  caller @5 :UInt64;
  promptTokens @6 :UInt32;
  maxTokens :union {
    none @7 :Void;
    some @8 :UInt32;
  }
  prefix @9 :UInt64;
  fingerprint @10 :UInt64;
  budgetMs @11 :UInt64;
  attempt @12 :UInt16;
  avoid @13 :Text;
  # Empty if no endpoint is to be avoided.
}

struct Reply {
  union {
    grant @0 :Grant;
    refusal @1 :Refusal;
  }
}

struct Grant {
  endpoint @0 :Text;
  ip @1 :Data;
  port @2 :UInt16;
  fence @3 :UInt64;
  dispatchByMs @4 :UInt32;
  waitMs @5 :UInt32;
}

struct Refusal {
  kind @0 :Text;
  message @1 :Text;
  retryAfterMs :union {
    none @2 :Void;
    some @3 :UInt64;
  }
  waitMs @4 :UInt32;
}

struct Done {
  id @0 :UInt64;
  result @1 :Result;
  tokens @2 :UInt32;
  # Time for which the endpoint wants no requests; 0 for none.
  pauseMs @3 :UInt32;
  # Whether the endpoint answered, so that a failure is no crash. Hosts of builds without
  # it leave that open.
  answered @4 :Bool;
}

enum Result {
  complete @0;
  cancelled @1;
  refused @2;
  unreachable @3;
  failed @4;
  unused @5;
}

struct Header {
  name @0 :Text;
  value @1 :Data;
}

struct Request {
  method @0 :Text;
  path @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
}

struct Run {
  request @0 :Request;
  class @1 :Text;
  team @2 :UInt32;
  caller @3 :UInt64;
  key @4 :Text;
  fingerprint @5 :UInt64;
  requestTimeMs :union {
    none @6 :Void;
    some @7 :UInt64;
  }
  budgetMs @8 :UInt64;
}

struct Outcome {
  union {
    answer @0 :Answer;
    refusal @1 :Refusal;
  }
}

struct Answer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct Fetch {
  known @0 :List(Known);
}

struct Known {
  name @0 :Text;
  hash @1 :Data;
}

struct Files {
  revision @0 :UInt64;
  content @1 :Data;
  changed @2 :List(File);
  removed @3 :List(Text);
}

struct File {
  name @0 :Text;
  text @1 :Text;
}

struct Blame {
  pool @0 :Text;
  fingerprint @1 :UInt64;
  endpoint @2 :Text;
  count @3 :UInt32;
  # Hash of the leading part of the prompt if that may have caused the crash, which was
  # checked by a probe; 0 otherwise, and from hosts of builds without it.
  prefix @4 :UInt64;
}
