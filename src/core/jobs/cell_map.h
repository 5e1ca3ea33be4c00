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

/// Resources that a gang needs: its shape, and the processors and memory of
/// the whole gang.
struct gang_need {
  gang_shape shape;
  std::uint32_t processors = 0;
  std::uint64_t memory_mb = 0;
};

/// Which accelerators a search may use.
enum class cell_scope {
  outside_homes,  // free, and in no home of a guarantee
  free,           // free, also in homes
  reclaimable,    // free, or occupied by work that may be reclaimed
  new_home,       // in no home, and free or reclaimable
  all             // every accelerator, as if the site were empty
};

/// Accelerators of one worker: the worker's index in the map, and a mask
/// whose bit i is accelerator i.
struct cell {
  std::uint32_t worker = 0;
  std::uint64_t accelerators = 0;
};

/// A candidate placement of a gang and its cost; lower is better.
struct placement {
  std::vector<cell> cells;
  double cost = 0;
};

/// Weights by which candidate placements are compared.
struct placement_weights {
  gang_shape largest;           // shape that should stay placeable
  double fragmentation = 0;     // weight of stranded accelerators
  bool first_fit = false;       // takes the first match, not the best
  bool reserved_ahead = false;  // may use those reserved in advance
};

/// Occupancy of the site's accelerators for one scheduling pass. Accelerators
/// are allocated in buddy blocks: accelerator, pair, quad, worker, rack, data
/// centre. The map also records which of them are reclaimable, reserved, or in
/// the home of a guarantee (accelerators set aside for it, which other work may
/// borrow). Assignments that name an unknown worker are ignored.
class cell_map {
 public:
  explicit cell_map(std::span<const worker> workers);
  cell_map(const cell_map&) = delete;  // names_ refers to workers_
  cell_map(cell_map&&) = default;
  auto operator=(const cell_map&) -> cell_map& = delete;
  auto operator=(cell_map&&) -> cell_map& = default;
  ~cell_map() = default;

  /// The index of a worker, or nothing if the map does not contain it.
  auto find_worker(std::string_view name) const -> std::optional<std::uint32_t>;

  /// Marks an assignment's accelerators, processors and memory as occupied.
  void occupy(const assignment& part);

  /// Releases an assignment's accelerators, processors and memory.
  void release(const assignment& part);

  /// Marks occupied accelerators as reclaimable, and their processors and
  /// memory with them.
  void mark_reclaimable(const assignment& part);

  /// Clears the marks set by `mark_reclaimable` on all workers.
  void clear_reclaimable();

  /// Marks accelerators as the home of a guarantee. `idle` means that no gang
  /// claims the guarantee; other work uses idle homes only as a last choice.
  void add_home(const assignment& part, bool idle);

  /// Removes the home marks of these accelerators.
  void remove_home(const assignment& part);

  /// Reserves accelerators for a job that waits until they are free.
  void reserve(const assignment& part);

  /// Reserves accelerators in advance for a large gang that is due later. Only
  /// searches with `placement_weights::reserved_ahead` use them: for work that
  /// ends, or can be reclaimed, before the gang is due.
  void reserve_ahead(const assignment& part);

  /// The cheapest placements in different domains, at most `limit`, cheapest
  /// first. Empty if the gang does not fit.
  auto find(const gang_need& need, cell_scope scope,
            const placement_weights& weights, std::size_t limit = 1) const
      -> std::vector<placement>;

  /// The assignments of a placement. Processors and memory are spread evenly
  /// over the accelerators.
  auto assignments(std::span<const cell> cells, const gang_need& need) const
      -> std::vector<assignment>;

  /// Whether the assignment's accelerators are all free and not reserved.
  /// Those reserved in advance count as free.
  auto is_free(const assignment& part) const -> bool;

  /// Whether all accelerators are in service, not reserved, and free or
  /// reclaimable.
  auto is_borrowable(std::span<const assignment> cells) const -> bool;

  /// Whether the worker has the assignment's processors and memory available.
  auto has_capacity(const assignment& part) const -> bool;

  /// Whether the assignment asks for no more processors and memory than the
  /// worker has in proportion to the assigned accelerators.
  auto fits_proportional_share(const assignment& part) const -> bool;

  /// Number of free accelerators.
  auto free_count() const -> std::uint32_t;

  /// Number of stranded accelerators: free, but in a domain that has too few
  /// free ones for `largest`.
  auto stranded_count(const gang_shape& largest) const -> std::uint32_t;

  /// The workers by index.
  auto workers() const -> std::span<const worker> { return workers_; }

 private:
  struct worker_row {
    std::uint64_t in_service = 0;  // none unless the worker is ready
    std::uint64_t installed = 0;
    std::uint64_t occupied = 0;
    std::uint64_t reclaimable = 0;
    std::uint64_t home = 0;
    std::uint64_t idle_home = 0;
    std::uint64_t reserved = 0;
    std::uint64_t reserved_ahead = 0;
    std::int64_t processors = 0;  // available
    std::int64_t memory_mb = 0;   // available
    std::int64_t reclaimable_processors = 0;
    std::int64_t reclaimable_memory_mb = 0;
    std::uint32_t rack = 0;         // index in racks_
    std::uint32_t data_centre = 0;  // index in data_centres_
  };
  struct domain {
    std::vector<std::uint32_t> workers;
    std::uint32_t free = 0;
  };
  struct search;

  auto available(const worker_row& r, cell_scope scope,
                 bool reserved_ahead) const -> std::uint64_t;
  auto capacity(const worker_row& r, const search& s) const -> std::uint32_t;
  auto choose_cells(std::span<const std::uint32_t> workers,
                    const search& s) const -> std::vector<cell>;
  auto stranded_change(std::uint32_t worker, std::uint32_t taken,
                       const gang_shape& largest) const -> double;
  void find_in_workers(const search& s, std::vector<placement>& found) const;
  void find_in_domains(std::span<const domain> domains, const search& s,
                       std::vector<placement>& found) const;
  void update_free_counts(worker_row& r, std::uint64_t old_occupied);

  std::vector<worker> workers_;
  std::vector<worker_row> rows_;
  std::vector<domain> racks_;
  std::vector<domain> data_centres_;
  std::unordered_map<std::string_view, std::uint32_t> worker_index_;
};

/// Chooses `count` accelerators from a mask that has at least as many: the
/// lowest ones of an aligned buddy block that is wholly in the mask, else the
/// lowest ones of the mask.
auto choose_buddies(std::uint64_t mask, std::uint32_t count) -> std::uint64_t;

}  // namespace parsleyledge
