#include "zr_config/environment.h"

#include "zr_config/environment_fields.h"
#include "zr_config/environment_reader.h"

namespace zr {
namespace {

template <typename Map, typename Key>
const typename Map::mapped_type* Find(const Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

template <typename T>
std::string SectionReference(std::string_view heading,
                             const std::vector<Field<T>>& fields) {
  std::string text =
      "### " + std::string(heading) + "\n\n" + ReferenceHeading();
  for (const Field<T>& field : fields) text += ReferenceRow(field.spec);
  return text + "\n";
}

}  // namespace

Result<Environment> Environment::Parse(std::string_view text) {
  Environment environment;
  const auto problems = EnvironmentReader(environment, "").Read(text);
  if (problems.empty()) return environment;
  return Fail(ErrorCode::kInvalidArgument, "environment document", "",
              JoinProblems(problems));
}

std::vector<SettingsProblem> Environment::Check(std::string_view text,
                                                const std::string& file_name) {
  Environment environment;
  return EnvironmentReader(environment, file_name).Read(text);
}

std::string Environment::Reference() {
  return SectionReference("[environment]", EnvironmentFields()) +
         SectionReference("[pool NAME]", PoolFields()) +
         SectionReference("[class NAME]", ClassFields()) +
         SectionReference("[team NAME]", TeamFields()) +
         "### [drain domain NAME], [drain vm NAME], [drain endpoint NAME]\n\n"
         "These sections have no keys.\n";
}

const PoolPolicy* Environment::FindPool(const PoolId& pool) const {
  return Find(pools_, pool);
}

const PoolPolicy* Environment::FindPoolByModel(const std::string& model) const {
  const PoolId* pool = Find(pool_by_model_, model);
  return pool == nullptr ? nullptr : FindPool(*pool);
}

const ClassPolicy* Environment::FindClass(const ClassId& name) const {
  return Find(classes_, name);
}

const TeamPolicy* Environment::FindTeam(const TeamId& team) const {
  return Find(teams_, team);
}

const TeamPolicy* Environment::TeamForKeyDigest(
    const std::string& digest) const {
  const TeamId* team = Find(team_by_digest_, digest);
  return team == nullptr ? nullptr : FindTeam(*team);
}

bool Environment::IsDrained(const DomainId& domain, const VmId& vm,
                            const EndpointId& endpoint) const {
  return drains_.contains(Drain{DrainKind::kDomain, domain.value()}) ||
         drains_.contains(Drain{DrainKind::kVm, vm.value()}) ||
         drains_.contains(Drain{DrainKind::kEndpoint, endpoint.value()});
}

}  // namespace zr
