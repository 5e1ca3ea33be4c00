#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/jobs/gang_shape.h"
#include "core/jobs/job.h"
#include "core/jobs/worker.h"

namespace parsleyledge {

/// What a gang needs: its shape, and processors and memory for the whole.
struct gang_need {
  gang_shape shape;
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;
};

/// Which accelerators a search may use.
enum class cell_scope {
  outside_homes,  // free, and no guarantee lives there
  free,
  reclaimable,  // free, or held by work that may be reclaimed
  unclaimed,    // in no home: where a new home may be made
  all           // an empty site
};

/// Accelerators of one worker, by the worker's position in the map.
struct cell {
  std::uint32_t worker = 0;
  std::uint64_t accelerators = 0;
};

/// A place for a gang and what it costs; lower is better.
struct placement {
  std::vector<cell> cells;
  double cost = 0;
};

/// How candidate places are compared.
struct placement_weights {
  gang_shape largest;        // the shape that must not become unplaceable
  double fragmentation = 0;  // weight of accelerators that are stranded
  bool first_fit = false;    // take the first place instead of the best
  bool held_back = false;    // may use accelerators that are held back
};

/// The accelerators of the site, split like buddies: accelerator, pair, quad,
/// worker, rack, data centre. Keeps who may use which of them.
class cell_map {
 public:
  explicit cell_map(std::span<const worker> workers);
  cell_map(const cell_map&) = delete;  // names_ refers to workers_
  cell_map(cell_map&&) = default;
  auto operator=(const cell_map&) -> cell_map& = delete;
  auto operator=(cell_map&&) -> cell_map& = default;
  ~cell_map() = default;

  /// The position of a worker, if it is known.
  auto find_worker(std::string_view name) const -> std::optional<std::uint32_t>;

  /// Takes an assignment's accelerators, processors and memory.
  void occupy(const assignment& what);

  /// Gives them back.
  void vacate(const assignment& what);

  /// Marks held accelerators as reclaimable.
  void allow_reclaim(const assignment& what);

  /// Removes all marks of what may be reclaimed.
  void forbid_reclaim();

  /// Marks accelerators as the home of a guarantee. An idle home is kept for
  /// last when other work is placed.
  void add_home(const assignment& what, bool idle);

  /// Removes the mark of a home.
  void remove_home(const assignment& what);

  /// Keeps accelerators for a job that waits for them to become free.
  void reserve(const assignment& what);

  /// Keeps accelerators from work that would still run, and could not be
  /// reclaimed, when a large gang is due there.
  void hold_back(const assignment& what);

  /// The best places in different domains, at most `limit`, best first.
  auto find(const gang_need& need, cell_scope scope,
            const placement_weights& weights, std::size_t limit = 1) const
      -> std::vector<placement>;

  /// The assignments of a place, with processors and memory spread evenly.
  auto assignments(std::span<const cell> cells, const gang_need& need) const
      -> std::vector<assignment>;

  /// Whether the assignment's accelerators are all free and unreserved.
  auto is_free(const assignment& what) const -> bool;

  /// Whether the assignments' workers take work and no claim holds any of
  /// their accelerators.
  auto is_borrowable(std::span<const assignment> cells) const -> bool;

  /// Whether the assignment's processors and memory are free too.
  auto has_room(const assignment& what) const -> bool;

  /// The worker's own share of processors and memory for an accelerator.
  auto fits_share(const assignment& what) const -> bool;

  /// Number of free accelerators, and of those that are in no domain with
  /// enough free accelerators for `largest`.
  auto free_count() const -> std::uint32_t;
  auto stranded_count(const gang_shape& largest) const -> std::uint32_t;

  auto workers() const -> std::span<const worker> { return workers_; }

 private:
  struct row {
    std::uint64_t all = 0;  // on a worker that takes new work
    std::uint64_t known = 0;
    std::uint64_t held = 0;
    std::uint64_t reclaimable = 0;
    std::uint64_t home = 0;
    std::uint64_t idle_home = 0;
    std::uint64_t reserved = 0;
    std::uint64_t held_back = 0;
    std::int64_t processors = 0;
    std::int64_t memory_mb = 0;
    std::int64_t reclaimable_processors = 0;
    std::int64_t reclaimable_memory_mb = 0;
    std::uint32_t rack = 0;
    std::uint32_t data_centre = 0;
  };
  struct domain {
    std::vector<std::uint32_t> workers;
    std::uint32_t free = 0;
  };
  struct search;

  auto available(const row& r, cell_scope scope, bool held_back) const
      -> std::uint64_t;
  auto capacity(const row& r, const search& s) const -> std::uint32_t;
  auto fill(std::span<const std::uint32_t> workers, const search& s) const
      -> std::vector<cell>;
  auto stranded_change(std::uint32_t worker, std::uint32_t taken,
                       const gang_shape& largest) const -> double;
  void find_in_workers(const search& s, std::vector<placement>& found) const;
  void find_in_domains(std::span<const domain> domains, const search& s,
                       std::vector<placement>& found) const;
  void count_free(row& r, std::uint64_t before);

  std::vector<worker> workers_;
  std::vector<row> rows_;
  std::vector<domain> racks_;
  std::vector<domain> data_centres_;
  std::unordered_map<std::string_view, std::uint32_t> names_;
};

/// Chooses `count` accelerators from a mask that holds at least as many: the
/// smallest aligned block of buddies that fits, else the lowest ones.
auto choose_buddies(std::uint64_t mask, std::uint32_t count) -> std::uint64_t;

}  // namespace parsleyledge
