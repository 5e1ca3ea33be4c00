#include "core/fleet/speed_table.h"

#include <algorithm>
#include <cmath>

namespace parsleyledge::fleet {

namespace {

constexpr std::size_t steps_kept = 128;
// A new sample counts at least this much, so that a machine that turns slow
// is noticed after a few tasks.
constexpr double most_weight = 6;
// Doubts a first sample, which may be of an uncommonly large task.
constexpr double first_doubt = 0.5;
// A smaller change of the logarithm is not worth a command.
constexpr double noticeable = 0.1;

}  // namespace

auto speed_table::samples_of(const step_ref& step) -> std::vector<sample>& {
  auto it = std::ranges::find(steps_, step, &step_samples::step);
  if (it != steps_.end()) return it->samples;
  if (steps_.size() < steps_kept) {
    steps_.push_back({step, {}});
    return steps_.back().samples;
  }
  auto& reused = steps_[next_step_];
  next_step_ = (next_step_ + 1) % steps_kept;
  reused = {step, {}};
  return reused.samples;
}

void speed_table::observe(const step_ref& step, std::string_view machine,
                          double rate) {
  if (!(rate > 0)) return;
  auto log_rate = std::log(rate);
  auto& samples = samples_of(step);
  double work = 0;
  int others = 0;
  for (const auto& s : samples) {
    if (s.machine == machine) continue;
    auto it = machines_.find(s.machine);
    auto log_speed = it == machines_.end() ? 0 : it->second.now.log_speed;
    work += log_speed - s.log_rate;
    ++others;
  }
  samples.push_back({std::string(machine), log_rate});
  auto& known = machines_[std::string(machine)].now;
  if (others == 0) return;
  auto seen = log_rate + work / others;
  auto weight = known.weight + first_doubt;
  known.log_speed += (seen - known.log_speed) / (weight + 1);
  known.weight = std::min(known.weight + 1, most_weight);
}

auto speed_table::speed(std::string_view machine) const -> double {
  return std::exp(learned(machine).log_speed);
}

void speed_table::restore(std::string_view machine,
                          const machine_speed& speed) {
  auto& known = machines_[std::string(machine)];
  known.noted = speed;
  if (known.now.weight < speed.weight) known.now = speed;
}

auto speed_table::take_news() -> std::vector<noted_speed> {
  std::vector<noted_speed> news;
  for (auto& [machine, known] : machines_) {
    if (known.now.weight == 0) continue;
    bool fresh = known.noted.weight == 0;
    auto change = std::abs(known.now.log_speed - known.noted.log_speed);
    if (!fresh && change < noticeable) continue;
    known.noted = known.now;
    news.push_back({machine, known.now});
  }
  return news;
}

auto speed_table::learned(std::string_view machine) const -> machine_speed {
  auto it = machines_.find(machine);
  return it == machines_.end() ? machine_speed{} : it->second.now;
}

}  // namespace parsleyledge::fleet
