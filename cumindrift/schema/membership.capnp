@0xe5c9a72d1f60b843;

struct Endpoint {
  ip @0 :Text;
  port @1 :UInt16;
}

struct Claim {
  memberId @0 :UInt64;
  incarnation @1 :UInt64;
  revision @2 :UInt32;
  state @3 :UInt8;
}

struct Claims {
  memberIds @0 :List(UInt64);
  incarnations @1 :List(UInt64);
  revisions @2 :List(UInt32);
  states @3 :List(UInt8);
}

struct Members {
  names @0 :List(Text);
  roles @1 :List(Text);
  regions @2 :List(Text);
  dataCentres @3 :List(Text);
  ips @4 :List(Text);
  ports @5 :List(UInt16);
  incarnations @6 :List(UInt64);
  revisions @7 :List(UInt32);
  states @8 :List(UInt8);
  teams @9 :List(Text);
  services @10 :List(Text);
}

struct Sender {
  claim @0 :Claim;
  endpoint @1 :Endpoint;
}

struct News {
  claims @0 :Claims;
  suspicions @1 :Claims;
}

struct Ping {
  sender @0 :Sender;
  origin @1 :Endpoint;
  targetId @2 :UInt64;
  isDoubted @3 :Bool;
  news @4 :News;
  sequence @5 :UInt32;
}

struct Ack {
  sender @0 :Sender;
  origin @1 :Endpoint;
  subject @2 :Claim;
  news @3 :News;
  sequence @4 :UInt32;
}

struct PingRequest {
  sender @0 :Sender;
  targetId @1 :UInt64;
  target @2 :Endpoint;
  isDoubted @3 :Bool;
  sequence @4 :UInt32;
}

struct Gossip {
  sender @0 :Sender;
  news @1 :News;
}

struct Digest {
  sender @0 :Sender;
  sums @1 :Data;
  wantsDigest @2 :Bool;
}

struct Listing {
  sender @0 :Sender;
  firstId @1 :UInt64;
  lastId @2 :UInt64;
  claims @3 :Claims;
}

struct Want {
  sender @0 :Sender;
  memberIds @1 :List(UInt64);
}

struct Records {
  sender @0 :Sender;
  members @1 :Members;
}

struct MembershipMessage {
  union {
    ping @0 :Ping;
    ack @1 :Ack;
    pingRequest @2 :PingRequest;
    gossip @3 :Gossip;
    digest @4 :Digest;
    listing @5 :Listing;
    want @6 :Want;
    records @7 :Records;
  }
}
