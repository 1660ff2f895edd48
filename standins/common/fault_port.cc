#include "standins/common/fault_port.h"

namespace zr {

void RegisterEndpoints(asio::io_context& context,
                       const std::shared_ptr<HttpClient>& client,
                       const std::string& platform,
                       const EndpointGroup& group) {
  if (platform.empty()) return;
  const auto domains = SplitList(group.domains);
  for (int i = 0; i < group.count; ++i) {
    const std::string domain =
        domains.empty() ? "" : domains[static_cast<size_t>(i) % domains.size()];
    const nlohmann::json value = {{"address", AddressAt(group.listen, i)},
                                  {"pool", group.pool},
                                  {"domain", domain},
                                  {"region", group.region}};
    RegisterObject(context, client, platform, "endpoints",
                   group.name_prefix + "-" + std::to_string(i), value.dump());
  }
}

}  // namespace zr
