#pragma once

#include <memory>
#include <string>
#include <utility>

namespace zr {

/** A body whose copies share its bytes. */
class SharedBody {
 public:
  SharedBody() = default;
  SharedBody(std::string text)  // NOLINT(google-explicit-constructor)
      : text_(std::make_shared<const std::string>(std::move(text))) {}
  SharedBody(const char* text)  // NOLINT(google-explicit-constructor)
      : SharedBody(std::string(text)) {}
  /** @param text  may keep further objects alive as long as it is used */
  explicit SharedBody(std::shared_ptr<const std::string> text)
      : text_(std::move(text)) {}

  const std::string& text() const {
    static const std::string kEmpty;
    return text_ ? *text_ : kEmpty;
  }
  operator const std::string&() const {  // NOLINT(google-explicit-constructor)
    return text();
  }
  const char* data() const { return text().data(); }
  size_t size() const { return text().size(); }
  bool empty() const { return text().empty(); }

  friend bool operator==(const SharedBody& a, const SharedBody& b) {
    return a.text() == b.text();
  }
  friend bool operator==(const SharedBody& a, const char* b) {
    return a.text() == b;
  }
  friend bool operator==(const SharedBody& a, const std::string& b) {
    return a.text() == b;
  }

 private:
  std::shared_ptr<const std::string> text_;
};

}  // namespace zr
