#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/command.h"

namespace parsleyledge::fleet {

/// Learns the relative speeds of machines from the progress of tasks of one
/// step on several machines: tasks of one step are alike, while the callers'
/// estimates of different steps are inaccurate. Speeds and step sizes are
/// fitted to the retained samples by least squares of logarithms.
class speed_table {
 public:
  /// Records that a task of the step completed this share of its work per
  /// millisecond on a machine. Used from the next update on.
  void observe(const step_ref& step, std::string_view machine, double rate);

  /// Fits the speeds to the samples, if there are new ones.
  void update();

  /// The speed of a machine; 1, the mean, until it has been measured.
  auto speed(std::string_view machine) const -> double;

  /// Restores the speed that an earlier leader learned, unless the local
  /// estimate has at least its weight.
  void restore(std::string_view machine, const machine_speed& speed);

  /// The speeds that have changed significantly since they were last recorded.
  /// They count as recorded from then on.
  auto take_changes() -> std::vector<recorded_speed>;

  /// The estimate for a machine; of weight 0 until the machine has been
  /// compared with others.
  auto learned(std::string_view machine) const -> machine_speed;

  /// How many machines have been compared with others.
  auto compared_count() const -> std::size_t;

 private:
  struct entry {
    std::string name;
    machine_speed prior;  // from discarded samples, or earlier leaders
    machine_speed current;
    machine_speed recorded;
  };
  struct sample {
    std::size_t machine = 0;
    double log_rate = 0;
  };
  struct step_samples {
    step_ref step;
    std::vector<sample> samples;
  };

  auto index_of(std::string_view machine) -> std::size_t;
  auto samples_of(const step_ref& step) -> std::vector<sample>&;
  auto spans_machines(const step_samples& step) const -> bool;
  void fit_once();
  void center();

  std::map<std::string, std::size_t, std::less<>> index_;
  std::vector<entry> machines_;
  std::vector<step_samples> steps_;  // a ring buffer of the latest
  std::size_t next_step_ = 0;
  bool changed_ = false;
};

}  // namespace parsleyledge::fleet
