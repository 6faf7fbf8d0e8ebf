@0xb5c1d3a49e27f608;
# Gossip datagrams exchanged between daemons.

struct Datagram {
  # One UDP datagram.
  from @0 :Address;          # Gossip address that replies go to.
  generation @1 :UInt64;     # Generation (incarnation) of the sending daemon.
  dataCentre @2 :Text;
  region @3 :Text;
  body :union {
    news @4 :Void;           # Carries piggybacked updates only.
    ping @5 :Probe;
    ack @6 :Probe;
    relay @7 :Relay;         # Requests an indirect probe on the sender's behalf.
    digest @8 :Digest;       # Requests the records that differ in one partition of the key space.
  }
  members @9 :List(Member);
  lights @10 :List(Light);
  beats @11 :List(Beat);
  summaries @12 :List(Summary);
  wants @13 :List(UInt64);   # Keys of the records that the sender requests.
  repair @14 :Bool;          # Results from anti-entropy, so that most members have the records.
}

struct Address {
  ip @0 :Data;               # 4 or 16 bytes.
  port @1 :UInt16;
}

struct Probe {
  sequence @0 :UInt32;
  origin @1 :UInt64;         # In an ack: generation of the member that was pinged.
}

struct Relay {
  sequence @0 :UInt32;
  target @1 :Address;
}

struct Digest {
  bits @0 :UInt8;            # The key space is divided into 2^bits partitions.
  part @1 :UInt32;
  entries @2 :List(Entry);

  struct Entry {
    key @0 :UInt64;
    order @1 :UInt64;
  }
}

struct Place {
  name @0 :Text;
  region @1 :Text;
  dataCentre @2 :Text;
  call @3 :Address;
  gossip @4 :Address;
}

enum Status {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct Light {
  # Frequently changing part of the record of a member that the receiver already knows.
  generation @0 :UInt64;
  version @1 :UInt32;
  bodyVersion @2 :UInt32;    # Version at which the body of the record last changed.
  status @3 :Status;
  draining @4 :Bool;
  load @5 :UInt16;
  level @6 :UInt32;
  revision @7 :UInt64;
}

struct Member {
  light @0 :Light;
  place @1 :Place;
  hasWorker @2 :Bool;
  incarnation @3 :UInt64;
  service @4 :Text;
  slots @5 :UInt32;
  suspects @6 :Data;
}

struct Beat {
  # Heartbeat of one data centre.
  region @0 :Text;
  dataCentre @1 :Text;
  contact @2 :Address;
  beat @3 :UInt64;
  revisionMin @4 :UInt64;
  revisionMax @5 :UInt64;
  lagging @6 :List(Text);
}

struct Summary {
  # Capacity of one service advertised by one data centre.
  dataCentre @0 :Text;
  service @1 :Text;
  version @2 :UInt64;
  slots @3 :UInt32;
  load @4 :UInt32;
  level @5 :UInt32;
  workers @6 :List(Worker);

  struct Worker {
    place @0 :Place;
    incarnation @1 :UInt64;
    slots @2 :UInt32;
  }
}
