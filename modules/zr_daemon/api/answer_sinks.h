#pragma once

#include <memory>
#include <string>

#include "zr_daemon/request/answer_sink.h"
#include "zr_http/zr_http.h"

namespace zr {

/** API whose format a model's answer has. */
enum class AnswerForm { kCompletion, kChat };

/** Sends a model's answer as server-sent events. */
std::shared_ptr<AnswerSink> MakeEventSink(HttpResponsePtr response,
                                          AnswerForm form, RequestId request,
                                          std::string model);
/** Sends a model's whole answer as one JSON document. */
std::shared_ptr<AnswerSink> MakeJsonSink(HttpResponsePtr response,
                                         AnswerForm form, RequestId request,
                                         std::string model);
/**
 * Sends the buffered answer of a plain service.
 * @param max_bytes  a longer answer is replaced by an error
 */
std::shared_ptr<AnswerSink> MakeServiceSink(HttpResponsePtr response,
                                            RequestId request,
                                            size_t max_bytes);

}  // namespace zr
