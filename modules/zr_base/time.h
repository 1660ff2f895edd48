#pragma once

#include <compare>
#include <cstdint>
#include <limits>
#include <ostream>

namespace zr {

/** A span of time with microsecond resolution; may be negative. */
class Duration {
 public:
  constexpr Duration() = default;

  static constexpr Duration Microseconds(int64_t n) { return Duration(n); }
  static constexpr Duration Milliseconds(int64_t n) {
    return Duration(n * 1000);
  }
  static constexpr Duration Seconds(int64_t n) {
    return Duration(n * 1000 * 1000);
  }
  static constexpr Duration Max() {
    return Duration(std::numeric_limits<int64_t>::max() / 4);
  }

  constexpr int64_t microseconds() const { return us_; }
  constexpr int64_t milliseconds() const { return us_ / 1000; }
  constexpr double seconds() const { return static_cast<double>(us_) / 1e6; }

  friend constexpr auto operator<=>(const Duration&, const Duration&) = default;
  friend constexpr Duration operator+(Duration a, Duration b) {
    return Duration(a.us_ + b.us_);
  }
  friend constexpr Duration operator-(Duration a, Duration b) {
    return Duration(a.us_ - b.us_);
  }
  friend constexpr Duration operator*(Duration a, int64_t n) {
    return Duration(a.us_ * n);
  }
  friend constexpr Duration operator/(Duration a, int64_t n) {
    return Duration(a.us_ / n);
  }
  friend std::ostream& operator<<(std::ostream& os, Duration d) {
    return os << d.us_ << "us";
  }

 private:
  constexpr explicit Duration(int64_t us) : us_(us) {}
  int64_t us_ = 0;
};

/**
 * A point in time on a monotonic clock with an arbitrary origin (virtual in
 * tests).
 */
class TimePoint {
 public:
  constexpr TimePoint() = default;

  static constexpr TimePoint FromMicroseconds(int64_t us) {
    return TimePoint(us);
  }
  static constexpr TimePoint Max() {
    return TimePoint(std::numeric_limits<int64_t>::max() / 2);
  }

  constexpr int64_t microseconds() const { return us_; }

  friend constexpr auto operator<=>(const TimePoint&,
                                    const TimePoint&) = default;
  friend constexpr TimePoint operator+(TimePoint t, Duration d) {
    return TimePoint(t.us_ + d.microseconds());
  }
  friend constexpr TimePoint operator-(TimePoint t, Duration d) {
    return TimePoint(t.us_ - d.microseconds());
  }
  friend constexpr Duration operator-(TimePoint a, TimePoint b) {
    return Duration::Microseconds(a.us_ - b.us_);
  }
  friend std::ostream& operator<<(std::ostream& os, TimePoint t) {
    return os << t.us_ << "us";
  }

 private:
  constexpr explicit TimePoint(int64_t us) : us_(us) {}
  int64_t us_ = 0;
};

}  // namespace zr
