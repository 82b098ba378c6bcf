@0xe5c9a72d1f60b843;

struct Endpoint {
  ip @0 :Text;
  port @1 :UInt16;
}

struct Member {
  name @0 :Text;
  role @1 :Text;
  region @2 :Text;
  dataCentre @3 :Text;
  endpoint @4 :Endpoint;
  incarnation @5 :UInt64;
  revision @6 :UInt32;
  state @7 :UInt8;
  team @8 :Text;
  service @9 :Text;
  memberId @10 :UInt64;
}

struct Gossip {
  sender @0 :Member;
  members @1 :List(Member);
  wantsAnswer @2 :Bool;
}

struct Leave {
  sender @0 :Member;
}

struct MembershipMessage {
  union {
    gossip @0 :Gossip;
    leave @1 :Leave;
  }
}
