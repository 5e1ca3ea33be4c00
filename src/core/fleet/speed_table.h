#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/command.h"

namespace parsleyledge::fleet {

/// Learns how fast machines are, relative to each other, from the progress of
/// tasks of one step on several machines: such tasks are alike, while the
/// callers' estimates of different steps are far off. Speeds and the sizes of
/// steps are fitted to all samples kept, by least squares of logarithms.
class speed_table {
 public:
  /// A task of the step made this share of its work in a millisecond. It
  /// counts from the next update on.
  void observe(const step_ref& step, std::string_view machine, double rate);

  /// Fits the speeds to what was observed, if anything was.
  void update();

  /// The speed of a machine; 1, the mean, until something is known.
  auto speed(std::string_view machine) const -> double;

  /// Takes over what an earlier leader learned, unless more is known here.
  void restore(std::string_view machine, const machine_speed& speed);

  /// What has changed noticeably since it was last taken, to be noted for
  /// leaders to come.
  auto take_changes() -> std::vector<recorded_speed>;

  /// What is known of a machine; of weight 0 until it has been compared with
  /// others.
  auto learned(std::string_view machine) const -> machine_speed;

  /// How many machines have been compared with others.
  auto compared_count() const -> std::size_t;

 private:
  struct entry {
    std::string name;
    machine_speed before;  // by samples no longer kept, or earlier leaders
    machine_speed now;
    machine_speed noted;
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
  auto compares(const step_samples& step) const -> bool;
  void fit_once();
  void center();

  std::map<std::string, std::size_t, std::less<>> index_;
  std::vector<entry> machines_;
  std::vector<step_samples> steps_;  // a ring of the latest
  std::size_t next_step_ = 0;
  bool changed_ = false;
};

}  // namespace parsleyledge::fleet
