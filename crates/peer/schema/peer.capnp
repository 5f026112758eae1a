@0xb7a4f1c2d3e58691;
# Frames between the processes of the system, each one message with a length before it.

struct Frame {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    submit @2 :Submit;
    answer @3 :Answer;
    cancel @4 :Id;
    locate @5 :Id;
    fence @6 :Fence;
    found @7 :Found;
    attach @8 :Attach;
    acknowledge @9 :Attach;
    announce @10 :Configuration;
    ask @11 :Ask;
    parcel @12 :Parcel;
    control @13 :Control;
    # A heartbeat like the last one, but for these.
    still :group {
      nextMillis @14 :UInt16;
      loadAgeMillis @15 :UInt32;
    }
  }
}

# First frame of each side.
struct Hello {
  version @0 :UInt16;
  instance @1 :Text;
  incarnation @2 :UInt64;
  uptimeMillis @3 :UInt64;
  configuration @4 :Configuration;
}

# What the sender has in force; revision 0 is nothing.
struct Configuration {
  revision @0 :UInt64;
  digest @1 :Text;
}

struct Heartbeat {
  configuration @0 :Configuration;
  leaving @1 :Bool;
  load @2 :Load;
  loadAgeMillis @3 :UInt32;
  nextMillis @4 :UInt16;
  admitting @5 :Bool;
}

struct Load {
  queued @0 :UInt32;
  running @1 :UInt32;
  backlogTokens @2 :UInt64;
  stepTimeMicros @3 :UInt64;
  skew @4 :Float32;
}

# A request to run. Times are durations.
struct Submit {
  id @0 :Text;
  stream @1 :UInt64;
  incarnation @2 :UInt64;
  revision @3 :UInt64;
  attempt @4 :UInt32;
  ageMillis @5 :UInt64;
  deadlineMillis @6 :UInt64;
  workspace @7 :Text;
  group @8 :Text;
  priority @9 :UInt8;
  idempotent @10 :Bool;
  work :union {
    draft @11 :Draft;
    call @12 :Call;
  }
}

struct Draft {
  model @0 :Text;
  prompt @1 :Text;
  maxTokens @2 :UInt32;
}

struct Call {
  service @0 :Text;
  method @1 :Text;
  path @2 :Text;
  body @3 :Data;
}

# A piece of an answer, or its end.
struct Answer {
  id @0 :Text;
  stream @1 :UInt64;
  incarnation @2 :UInt64;
  attempt @3 :UInt32;
  union {
    chunk @4 :Chunk;
    end @5 :End;
    failure @6 :Failure;
  }
}

struct Chunk {
  offset @0 :UInt64;
  bytes @1 :Data;
}

struct End {
  length @0 :UInt64;
  checksum @1 :UInt64;
}

struct Failure {
  kind @0 :UInt16;
  again @1 :Bool;
  retryMillis @2 :UInt64;
  detail @3 :Text;
  revision @4 :UInt64;
}

struct Id {
  id @0 :Text;
  stream @1 :UInt64;
  revision @2 :UInt64;
}

struct Fence {
  id @0 :Text;
  stream @1 :UInt64;
  revision @2 :UInt64;
  favoured :union {
    none @3 :Void;
    slot @4 :Text;
  }
}

# What a ledger knows of an id.
struct Found {
  id @0 :Text;
  stream @1 :UInt64;
  incarnation @2 :UInt64;
  uptimeMillis @3 :UInt64;
  also @4 :List(Text);
  presence :union {
    absent @5 :Void;
    fenced @6 :Void;
    fencedFor @7 :Text;
    known @8 :Known;
    full @9 :Void;
    stale @10 :UInt64;
  }
}

struct Known {
  fingerprint @0 :UInt64;
  attempt @1 :UInt32;
  standing :union {
    queued @2 :Void;
    running @3 :Void;
    finished @4 :End;
    expired @5 :Void;
    failed @6 :UInt16;
    lost @7 :Void;
  }
}

struct Attach {
  id @0 :Text;
  stream @1 :UInt64;
  offset @2 :UInt64;
}

# Asks for what the sender lacks of the configuration.
struct Ask {
  ticket @0 :UInt64;
  configuration @1 :Configuration;
  have @2 :List(Have);
  whole @3 :Bool;
}

struct Have {
  section @0 :UInt8;
  digest @1 :Text;
}

# Answers an ask.
struct Parcel {
  ticket @0 :UInt64;
  configuration @1 :Configuration;
  content :union {
    nothing @2 :Void;
    busy @3 :Void;
    newer @4 :Newer;
  }
}

struct Newer {
  manifest @0 :Data;
  pieces @1 :List(Piece);
}

struct Piece {
  section @0 :UInt8;
  union {
    whole @1 :Data;
    delta @2 :Delta;
  }
}

struct Delta {
  base @0 :Text;
  prefix @1 :UInt64;
  suffix @2 :UInt64;
  middle @3 :Data;
}

# A typed message of a decision, encoded by its own crate.
struct Control {
  topic @0 :UInt16;
  bytes @1 :Data;
}
