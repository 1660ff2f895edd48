#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_config/policies.h"
#include "zr_config/problem.h"

namespace zr {

/** The environment document: pools, classes, teams and drains, validated as a
 * whole. */
class Environment {
 public:
  /** A value of a section's key, for comparison. */
  struct Value {
    std::string text;    // normal form; equal for equal values
    bool given = false;  // false for a default
  };
  using Values = std::map<std::string, Value>;

  /** An environment without pools, classes and teams. */
  Environment() = default;

  //============================================================================
  /**
   * Parses and validates a document.
   *
   * @return kInvalidArgument with all problems, one per line of the message
   */
  static Result<Environment> Parse(std::string_view text);
  /** All problems of a document; empty if Parse() would succeed. */
  static std::vector<SettingsProblem> Check(std::string_view text,
                                            const std::string& file_name = "");
  /** The reference of all sections and keys in Markdown. */
  static std::string Reference();

  //============================================================================
  /** Name of the deployment. */
  const std::string& name() const { return name_; }
  const std::map<PoolId, PoolPolicy>& pools() const { return pools_; }
  const std::map<ClassId, ClassPolicy>& classes() const { return classes_; }
  const std::map<TeamId, TeamPolicy>& teams() const { return teams_; }
  const std::set<Drain>& drains() const { return drains_; }
  /** Normal form of all keys by section, defaults included. */
  const std::map<std::string, Values>& values() const { return values_; }

  //============================================================================
  /** A pool by its name; null if there is none. Valid as long as this object.
   */
  const PoolPolicy* FindPool(const PoolId& pool) const;
  /** The pool that serves a model; null if there is none. */
  const PoolPolicy* FindPoolByModel(const std::string& model) const;
  /** A class by its name; null if there is none. */
  const ClassPolicy* FindClass(const ClassId& name) const;
  /** A team by its name; null if there is none. */
  const TeamPolicy* FindTeam(const TeamId& team) const;
  /** The team that holds a bearer key, by KeyDigest() of the key; null if there
   * is none. */
  const TeamPolicy* TeamForKeyDigest(const std::string& digest) const;
  /** Whether the domain, VM or endpoint is drained; empty ids are ignored. */
  bool IsDrained(const DomainId& domain, const VmId& vm,
                 const EndpointId& endpoint) const;

 private:
  friend class EnvironmentReader;

  std::string name_;
  std::map<PoolId, PoolPolicy> pools_;
  std::map<std::string, PoolId> pool_by_model_;
  std::map<ClassId, ClassPolicy> classes_;
  std::map<TeamId, TeamPolicy> teams_;
  std::map<std::string, TeamId> team_by_digest_;
  std::set<Drain> drains_;
  std::map<std::string, Values> values_;
};

}  // namespace zr
