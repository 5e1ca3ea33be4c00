#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/fleet/command.h"

namespace parsleyledge::fleet {

/// Learns how fast machines are, relative to each other, from the progress of
/// tasks of one step on several machines: such tasks are alike, while the
/// callers' estimates of different steps are far off.
class speed_table {
 public:
  /// A task of the step made this share of its work in a millisecond.
  void observe(const step_ref& step, std::string_view machine, double rate);

  /// The speed of a machine; 1 until something is known.
  auto speed(std::string_view machine) const -> double;

  /// Takes over what an earlier leader learned, unless more is known here.
  void restore(std::string_view machine, const machine_speed& speed);

  /// What has changed noticeably since it was last taken, to be noted for
  /// leaders to come.
  auto take_news() -> std::vector<noted_speed>;

  /// What is known of a machine; of weight 0 until it has been compared with
  /// others.
  auto learned(std::string_view machine) const -> machine_speed;

 private:
  struct entry {
    machine_speed now;
    machine_speed noted;
  };
  struct sample {
    std::string machine;
    double log_rate = 0;
  };
  struct step_samples {
    step_ref step;
    std::vector<sample> samples;
  };

  auto samples_of(const step_ref& step) -> std::vector<sample>&;

  std::map<std::string, entry, std::less<>> machines_;
  std::vector<step_samples> steps_;  // a ring of the latest
  std::size_t next_step_ = 0;
};

}  // namespace parsleyledge::fleet
