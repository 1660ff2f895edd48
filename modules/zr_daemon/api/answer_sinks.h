#pragma once

#include <memory>
#include <string>

#include "zr_daemon/request/answer_sink.h"
#include "zr_http/zr_http.h"

namespace zr {

/** Form of a model's answer. */
enum class AnswerForm { kCompletion, kChat };

/** Server-sent events of a model's answer. */
std::shared_ptr<AnswerSink> MakeEventSink(HttpResponsePtr response,
                                          AnswerForm form, RequestId request,
                                          std::string model);
/** One JSON document with a model's whole answer. */
std::shared_ptr<AnswerSink> MakeJsonSink(HttpResponsePtr response,
                                         AnswerForm form, RequestId request,
                                         std::string model);
/**
 * The answer of a plain service, passed on whole.
 * @param max_bytes  a longer answer ends in an error
 */
std::shared_ptr<AnswerSink> MakeServiceSink(HttpResponsePtr response,
                                            RequestId request,
                                            size_t max_bytes);

}  // namespace zr
