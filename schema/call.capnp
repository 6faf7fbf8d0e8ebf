@0xd5b9a1c7f3e84a21;
# Calls between daemons.

interface Peer {
  # Runs one call on the worker behind the receiving daemon.
  call @0 (call :Call) -> (reply :Reply);

  # Returns the configuration in force, encoded as in the store.
  config @1 () -> (document :Data);
}

struct Call {
  requestIdHigh @0 :UInt64;
  requestIdLow @1 :UInt64;
  service @2 :Text;
  class @3 :Text;
  importance @4 :UInt8;
  idempotent @5 :Bool;
  incarnation @6 :UInt64;
  # Remaining time rather than a deadline, so that the daemons' clocks need not agree.
  remainingUs @7 :UInt64;
  # Retry tokens lent to the callee.
  retryTokens @8 :UInt8;
  depth @9 :UInt8;
  ticket @10 :Text;
  firstAttempt @11 :Bool;
  exclusive @12 :Bool;
  request @13 :Message;
  # Method and target of the HTTP request.
  method @14 :Text;
  target @15 :Text;
}

struct Message {
  headers @0 :List(Header);
  body @1 :Data;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Reply {
  retryTokens @0 :UInt8;
  # Lowest admission level of all gates along the path of the call, for its importance.
  pathLevel @1 :UInt32;
  union {
    answer @2 :Answer;
    refusal @3 :Refusal;
  }
  # Whether the refusal of a ticket is permanent for all attempts of the request.
  isFinal @4 :Bool;
}

struct Answer {
  status @0 :UInt16;
  message @1 :Message;
}

struct Refusal {
  # 1: not-run, 2: unknown.
  outcome @0 :UInt8;
  reason @1 :UInt8;
  # Zero if the caller is not advised when to retry.
  retryAfterMs @2 :UInt32;
}
