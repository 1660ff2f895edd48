#include "zr_http/server/request_reader.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstring>
#include <string>

namespace zr {
namespace {

constexpr size_t kCapacity = 4096;

/** Feeds text in pieces and collects what is passed on. */
struct Feeder {
  explicit Feeder(RequestReader::Limits reader_limits)
      : limits(reader_limits) {}

  RequestReader::Verdict Feed(std::string_view text, size_t piece = kCapacity) {
    std::string buffer(kCapacity, '\0');
    while (!text.empty()) {
      const size_t held = reader.held();
      const size_t size = std::min(
          {piece, text.size(), kCapacity - held - RequestReader::kOverhead});
      std::memcpy(buffer.data() + held, text.data(), size);
      text.remove_prefix(size);
      const auto output = reader.Read(buffer.data(), kCapacity, size, limits);
      passed.append(buffer, 0, output.size);
      completed += output.completed;
      if (output.completed > 0) cost = reader.completed_costs().back();
      malformed |= output.malformed;
      if (output.verdict != RequestReader::Verdict::kNone) {
        return output.verdict;
      }
      if (malformed) break;
    }
    return RequestReader::Verdict::kNone;
  }

  RequestReader reader;
  RequestReader::Limits limits;
  std::string passed;
  size_t completed = 0;
  size_t cost = 0;
  bool malformed = false;
};

std::string Chunked(size_t size, size_t chunk) {
  std::string text =
      "POST /x HTTP/1.1\r\nX-Request-Id: r-1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  char head[32];
  for (size_t sent = 0; sent < size; sent += chunk) {
    const size_t now = std::min(chunk, size - sent);
    std::snprintf(head, sizeof(head), "%zx;part=1\r\n", now);
    text += head + std::string(now, 'x') + "\r\n";
  }
  return text + "0\r\nTrailer: left out\r\n\r\n";
}

}  // namespace

// Guards against one-byte chunks, whose records take 48 times their bytes.
TEST_CASE("Small chunks are merged before they are passed on") {
  const size_t piece = GENERATE(1, 7, 4000);
  Feeder feeder({2000, 100000});
  REQUIRE(feeder.Feed(Chunked(50000, 1), piece) ==
          RequestReader::Verdict::kNone);
  REQUIRE(feeder.completed == 1);
  REQUIRE_FALSE(feeder.malformed);
  const auto body = feeder.passed.substr(feeder.passed.find("\r\n\r\n") + 4);
  REQUIRE(std::count(body.begin(), body.end(), 'x') == 50000);
  REQUIRE(std::count(body.begin(), body.end(), '\n') < 200);
  REQUIRE(body.find("Trailer") == std::string::npos);
  REQUIRE(feeder.cost >= 100000);  // the server's buffer doubles

  SECTION("the next request on the connection is read as usual") {
    const std::string next = "GET /y HTTP/1.1\r\nHost: h\r\n\r\n";
    REQUIRE(feeder.Feed(next + next) == RequestReader::Verdict::kNone);
    REQUIRE(feeder.completed == 3);
    REQUIRE(feeder.passed.ends_with(next + next));
  }
}

// Guards against requests that are changed on their way to the server.
TEST_CASE("Requests without chunks are passed on unchanged") {
  const size_t piece = GENERATE(1, 13, 4000);
  const std::string text =
      "POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello"
      "GET /y HTTP/1.1\r\nA: b\r\n\r\n"
      "POST /z HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
      "GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n";
  Feeder feeder({2000, 1000});
  REQUIRE(feeder.Feed(text, piece) == RequestReader::Verdict::kNone);
  REQUIRE(feeder.passed == text);
  REQUIRE(feeder.completed == 4);
}

// Guards against bytes that are held for a request that is refused anyway.
TEST_CASE("Requests over the limits are recognised at the limit") {
  using Verdict = RequestReader::Verdict;
  const std::string first = "GET /y HTTP/1.1\r\nHost: h\r\n\r\n";
  Feeder feeder({2000, 1000});

  SECTION("an announced body, after an earlier request") {
    const std::string head =
        "POST /x HTTP/1.1\r\nX-Request-Id: r-2\r\n"
        "Content-Length: 1001\r\n\r\n";
    REQUIRE(feeder.Feed(first + head) == Verdict::kBodyTooLarge);
    REQUIRE(feeder.passed == first);
    REQUIRE(feeder.reader.request_id() == "r-2");
  }
  SECTION("a body in chunks") {
    REQUIRE(feeder.Feed(Chunked(1001, 100), 50) == Verdict::kBodyTooLarge);
  }
  SECTION("a body at the limit is read") {
    REQUIRE(feeder.Feed(Chunked(1000, 100), 50) == Verdict::kNone);
    REQUIRE(feeder.completed == 1);
  }
  SECTION("a head of one long field, and one of many") {
    const std::string begin = "GET / HTTP/1.1\r\n";
    REQUIRE(feeder.Feed(begin + "A: " + std::string(2000, 'x')) ==
            Verdict::kHeadTooLarge);
    Feeder other({2000, 1000});
    std::string fields;
    for (int i = 0; i < 300; ++i) fields += "A: b\r\n";
    REQUIRE(other.Feed(begin + fields) == Verdict::kHeadTooLarge);
  }
}

// Guards against a server that understands other framing than the reader.
TEST_CASE("What follows malformed framing is rejected by the server, too") {
  const std::string head =
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  Feeder feeder({2000, 1000});
  SECTION("a chunk that is longer than its size") {
    feeder.Feed(head + "1\r\nxy\r\n5\r\nhello\r\n0\r\n\r\n");
    REQUIRE(feeder.passed == head + "1\r\nx\r\n!");
  }
  SECTION("two lengths") {
    feeder.Feed(
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n"
        "\r\nxx");
  }
  REQUIRE(feeder.malformed);
  REQUIRE(feeder.completed == 0);
}

}  // namespace zr
