#include "zinniarillctl/curl_transport.h"

#include <curl/curl.h>

#include <memory>
#include <utility>

namespace zr {
namespace {

// An endpoint list of the target scale takes a few MB; more is not an answer of
// this API.
constexpr size_t kMaxReplyBytes = 64u << 20;

size_t AppendBody(char* data, size_t size, size_t count, void* target) {
  auto& body = *static_cast<std::string*>(target);
  if (body.size() + size * count > kMaxReplyBytes) return 0;
  body.append(data, size * count);
  return size * count;
}

struct HeaderList {
  HeaderList() = default;
  HeaderList(const HeaderList&) = delete;
  HeaderList& operator=(const HeaderList&) = delete;
  ~HeaderList() { curl_slist_free_all(list); }
  void Add(const std::string& name, const std::string& value) {
    list = curl_slist_append(list, (name + ": " + value).c_str());
  }
  curl_slist* list = nullptr;
};

/** Whether the failure shows that no byte of the call left this process. */
bool NothingSent(CURLcode code) {
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
         code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

}  // namespace

CurlTransport::CurlTransport(std::string server, std::string token,
                             Duration timeout)
    : server_(std::move(server)), token_(std::move(token)), timeout_(timeout) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

CurlTransport::~CurlTransport() { curl_global_cleanup(); }

Result<HttpReply> CurlTransport::Send(const HttpCall& call) {
  std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> curl(curl_easy_init(),
                                                           &curl_easy_cleanup);
  if (!curl) {
    return Fail(ErrorCode::kInternal, "call", server_,
                "libcurl cannot be initialised");
  }
  HttpReply reply;
  HeaderList headers;
  headers.Add("Authorization", "Bearer " + token_);
  headers.Add("Content-Type", "text/plain");
  headers.Add("Expect", "");
  for (const auto& [name, value] : call.headers) headers.Add(name, value);
  const std::string url = "http://" + server_ + call.path;
  CURL* handle = curl.get();
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout_.milliseconds()));  // NOLINT
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.list);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reply.body);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  if (call.method == "PUT" || call.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
  }
  const CURLcode code = curl_easy_perform(handle);
  if (code != CURLE_OK) {
    return Fail(NothingSent(code) ? ErrorCode::kUnavailable
                                  : ErrorCode::kUnknownOutcome,
                "call", server_, curl_easy_strerror(code));
  }
  long status = 0;  // NOLINT: libcurl's type
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  reply.status = static_cast<int>(status);
  return reply;
}

}  // namespace zr
