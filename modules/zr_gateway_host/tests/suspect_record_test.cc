#include "zr_gateway_host/suspect_record.h"

#include <catch2/catch.hpp>

namespace zr {
namespace {

// Guards against blames that VMs which are restarted don't find in the store.
TEST_CASE("A record holds the suspects of a blame") {
  const VmId writer("vm-1");
  SECTION("one, in its name") {
    const Blame blame = {Fingerprint(0x37ce)};
    const SuspectRecord record = SuspectRecord::Create(blame, writer);
    REQUIRE(record.name == "37ce");
    REQUIRE(ReadSuspectRecord(record.name, record.value) == blame);
  }
  SECTION("several, in its value") {
    const Blame blame = {Fingerprint(1), Fingerprint(0xabc)};
    const SuspectRecord record = SuspectRecord::Create(blame, writer);
    REQUIRE(record.name.starts_with("any-of-"));
    REQUIRE(record.value == R"(["1","abc"])");
    REQUIRE(ReadSuspectRecord(record.name, record.value) == blame);
    REQUIRE(SuspectRecord::Create({Fingerprint(1)}, writer).name !=
            record.name);
  }
  SECTION("or nothing if it is malformed") {
    REQUIRE_FALSE(ReadSuspectRecord("xyz", ""));
    REQUIRE_FALSE(ReadSuspectRecord("", ""));
    for (const char* value : {"", "{}", "[]", "[1]", R"(["xyz"])", "[\"1\""}) {
      REQUIRE_FALSE(ReadSuspectRecord("any-of-1", value));
    }
  }
}

}  // namespace
}  // namespace zr
