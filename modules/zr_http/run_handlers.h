#pragma once

#include <asio/io_context.hpp>
#include <concepts>
#include <exception>

namespace zr {

/**
 * Runs a context's handlers until it stops or has no more work. An exception
 * that leaves a handler ends that handler, not the process.
 *
 * @param on_exception  called with the exception's text
 */
template <std::invocable<const char*> OnException>
void RunHandlers(asio::io_context& context, OnException on_exception) {
  while (true) {
    try {
      context.run();
      return;
    } catch (const std::exception& exception) {
      on_exception(exception.what());
    }
  }
}

}  // namespace zr
